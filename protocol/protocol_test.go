package protocol_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/internal/spec"
	"hingewinch.org/hingewinch/internal/standin"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/protocol/peer"
	"hingewinch.org/hingewinch/state"
)

func init() { spec.FixRapid() }

func TestProtocol(t *testing.T) { spec.Run(t, "protocol") }

var _ = Describe("a chat's identity", func() {
	identity := func(body string) string {
		r, err := protocol.ParseChat([]byte(body))
		Expect(err).NotTo(HaveOccurred())
		return string(r.Identity())
	}
	It("is the same for all turns", func() {
		first := `{"role":"system","content":"s"},{"role":"user","content":"u"}`
		one := identity(`{"model":"m","messages":[` + first + `]}`)
		two := identity(`{"messages":[` + first + `,{"role":"assistant","content":"a"},{"role":"user","content":"v"}],"model":"m"}`)
		Expect(one).To(Equal(two))
	})
	It("is the cache key if the caller sends one", func() {
		Expect(identity(`{"model":"m","prompt_cache_key":"k","messages":[{"role":"user"}]}`)).To(Equal("k"))
	})
})

var _ = Describe("EventReader", func() {
	read := func(text string) ([]string, error) {
		r := protocol.NewEventReader(strings.NewReader(text))
		var out []string
		for {
			ev, err := r.Read()
			if err != nil {
				return out, err
			}
			out = append(out, fmt.Sprintf("%d:%s", ev.Seq, ev.Data))
		}
	}
	DescribeTable("returns only complete events", func(text string, want []string, end error) {
		got, err := read(text)
		Expect(got).To(Equal(want))
		Expect(err).To(MatchError(end))
	},
		Entry("numbered", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1:a", "2:b"}, io.EOF),
		Entry("truncated within a line", "data: a\n\ndata: b", []string{"0:a"}, io.ErrUnexpectedEOF),
		Entry("truncated before the blank line", "data: a\n\ndata: b\n", []string{"0:a"}, io.ErrUnexpectedEOF),
		Entry("several data lines", "data: a\ndata:b\n\n", []string{"0:a\nb"}, io.EOF),
		Entry("comments", ": ping\n\n: ping\ndata: a\n\n", []string{"0:a"}, io.EOF),
		Entry("carriage returns", "data: a\r\n\r\n", []string{"0:a"}, io.EOF),
		Entry("long lines", "data: "+strings.Repeat("x", 9000)+"\n\n", []string{"0:" + strings.Repeat("x", 9000)}, io.EOF),
		Entry("too long", "data: "+strings.Repeat("x", protocol.MaxEventBytes)+"\n\n", nil, protocol.ErrEventTooLarge),
	)
})

var _ = Describe("a packed document", func() {
	text := func(changed string) []byte {
		var b bytes.Buffer
		for i := range 20_000 {
			fmt.Fprintf(&b, "  - name: workspace-%d # %x\n", i, coordination.Hash(fmt.Sprint(i)))
		}
		b.WriteString(changed)
		return b.Bytes()
	}
	old, next := text("old"), text("new")
	oldHead, nextHead := state.HeadOf(1, old), state.HeadOf(2, next)

	It("is small after a small change, and unpacks to the original", func() {
		resp, err := protocol.PackDocument(nextHead, next, oldHead, old)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(resp.GetData())).To(BeNumerically("<", len(next)/100))
		head, got, err := protocol.UnpackDocument(resp, old)
		Expect(err).NotTo(HaveOccurred())
		Expect(head).To(Equal(nextHead))
		Expect(got).To(Equal(next))
	})
	It("is rejected if its content does not match its head", func() {
		resp, err := protocol.PackDocument(oldHead, next, state.Head{}, nil)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = protocol.UnpackDocument(resp, nil)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("a member list", func() {
	It("round-trips", func() {
		members := []state.Member{{ID: "d1", Kind: state.KindDaemon, Domain: "a", Address: "127.0.0.1:1", Incarnation: 3, State: state.Leaving}}
		l, err := protocol.ParseMemberList(standin.FormatMemberList(7, members))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Members).To(Equal(members))
		Expect(l.Head.Version).To(Equal(uint64(7)))
	})
	DescribeTable("is rejected as a whole", func(entry, want string) {
		_, err := protocol.ParseMemberList([]byte(`{"revision":1,"members":[` + entry + `]}`))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("unknown state", `{"id":"a","kind":"engine","domain":"d","address":"h:1","state":"odd"}`, "unknown member state"),
		Entry("unknown kind", `{"id":"a","kind":"odd","domain":"d","address":"h:1","state":"live"}`, "unknown kind"),
		Entry("no domain", `{"id":"a","kind":"engine","address":"h:1","state":"live"}`, "domain is empty"),
		Entry("bad address", `{"id":"a","kind":"engine","domain":"d","address":"h","state":"live"}`, "address"),
	)
})

// TestGossipRoundTrip checks that a decoded message equals the encoded one.
func TestGossipRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := fleet.Gossip{
			Sender: "d1", Incarnation: 7, Domain: "a", Address: "h:1", Leaving: rapid.Bool().Draw(t, "leaving"),
			Stamp:  coordination.Stamp{Wall: rapid.Int64().Draw(t, "wall"), Counter: rapid.Uint32().Draw(t, "counter")},
			Config: state.HeadOf(rapid.Uint64().Draw(t, "version"), []byte("c")), ListAge: -1,
			Upto: rapid.Uint64().Draw(t, "upto"), Ack: rapid.Uint64().Draw(t, "ack"), AckIncarnation: 3,
			Reports: []fleet.Report{{ID: "e", Incarnation: 1, State: state.Leaving, Load: 5, Admission: state.Admission(rapid.Uint16().Draw(t, "gate")), Seq: 9}},
		}
		got := protocol.DecodeGossip(protocol.EncodeGossip(n))
		if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", n) {
			t.Fatalf("encoded %+v, decoded %+v", n, got)
		}
	})
}

// TestHostileGossip checks that decoding drops or clamps every out-of-range field
// of a peer's message.
func TestHostileGossip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &peer.News{
			Sender: "x", ListAgeMs: rapid.Int64().Draw(t, "age"), Config: &peer.Head{Version: 1, Digest: rapid.SliceOf(rapid.Byte()).Draw(t, "digest")},
			Reports: []*peer.Report{{Id: rapid.String().Draw(t, "id"), State: rapid.Uint32().Draw(t, "state"), Load: rapid.Uint32().Draw(t, "load"), Gate: rapid.Uint32().Draw(t, "gate")}, nil},
		}
		n := protocol.DecodeGossip(m)
		for _, r := range n.Reports {
			if r.State < state.Live || r.State > state.Gone || r.ID == "" {
				t.Fatalf("report %+v was accepted", r)
			}
		}
		if n.ListAge < -1 {
			t.Fatalf("age %v was accepted", n.ListAge)
		}
	})
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"system","content":"s"},{"role":"user","content":"u"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"u"}]}],"tools":[{}],"prompt_cache_key":"k"}`))
	f.Add([]byte(`{"messages":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := protocol.ParseChat(body)
		if err == nil && (r.Model == "" || len(r.Identity()) == 0) {
			t.Fatalf("a request without model or identity was accepted: %q", body)
		}
		if err != nil {
			return
		}
		// encoding/json, which stands for the engine's parser, must read the same model.
		var fields map[string]json.RawMessage
		var model string
		if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["model"], &model) != nil || model != string(r.Model) {
			t.Fatalf("parsed model %q from %q", r.Model, body)
		}
	})
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data:\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := protocol.NewEventReader(bytes.NewReader(stream))
		for {
			ev, err := r.Read()
			if err != nil {
				return
			}
			if !bytes.HasSuffix(ev.Raw, []byte("\n\n")) {
				t.Fatalf("event without a final blank line: %q", ev.Raw)
			}
		}
	})
}

func FuzzUnpackDocument(f *testing.F) {
	f.Add([]byte{}, []byte("base"))
	f.Fuzz(func(t *testing.T, data, base []byte) {
		head := state.HeadOf(1, []byte("other"))
		resp := &peer.FetchResponse{Head: protocol.EncodeHead(head), Base: protocol.EncodeHead(head), Data: data}
		if _, text, err := protocol.UnpackDocument(resp, base); err == nil && string(text) != "other" {
			t.Fatalf("unpacked %q, which does not match the head", text)
		}
	})
}
