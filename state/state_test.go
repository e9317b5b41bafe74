package state_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/internal/spec"
	"hingewinch.org/hingewinch/state"
)

func TestState(t *testing.T) { spec.Run(t, "state") }

const validConfig = `version: 3
models:
  - name: m
    adapters: [a]
engines:
  - name: g
    models: [m]
services:
  - name: gate
    routes:
      - {prefix: /, repeat: allowed}
      - {prefix: /passes, methods: [POST], repeat: never}
workspaces:
  - name: w
    models: [m, a]
    services: [gate]
`

var _ = Describe("A configuration file", func() {
	It("is parsed with defaults", func() {
		c, err := state.ParseConfig("f.yaml", []byte(validConfig))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Routing.Bound).To(Equal(state.DefaultBound))
		Expect(c.Workspaces[0].Priority).To(Equal(state.PriorityNormal))
	})
	DescribeTable("is rejected if it is invalid, with line and remedy", func(old, next, want string) {
		Expect(validConfig).To(ContainSubstring(old))
		_, err := state.ParseConfig("f.yaml", []byte(strings.Replace(validConfig, old, next, 1)))
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("no version", "version: 3\n", "", "f.yaml:1: version is missing"),
		Entry("an unknown key", "adapters", "adaptors", `f.yaml:4: unknown key "adaptors"; remove it`),
		Entry("an unknown model", "    models: [m]", "    models: [n]", `f.yaml:7: model "n" is not defined`),
		Entry("a duplicate name", "adapters: [a]", "adapters: [m]", `f.yaml:4: name "m" is defined twice`),
		Entry("a plaintext key", "    services: [gate]\n", "    keys: [secret]\n", "f.yaml:16: key is not a hash"),
		Entry("an unknown repeat rule", "repeat: never", "repeat: seldom", `f.yaml:12: repeat "seldom" is unknown`),
		Entry("a bound out of range", "version: 3\n", "version: 3\nrouting: {bound: 1}\n", "f.yaml:2: bound 1 is out of range"),
		Entry("invalid syntax", "models:", "models: {", "f.yaml:"),
		Entry("two documents", "version: 3\n", "version: 3\n---\n", "more than one document"),
	)
	It("has all its problems reported", func() {
		_, err := state.ParseConfig("f.yaml", []byte(strings.Replace(strings.Replace(validConfig, "[m, a]", "[x, y]", 1), "version: 3", "version: 0", 1)))
		Expect(strings.Count(err.Error(), "f.yaml:")).To(Equal(3))
	})
	DescribeTable("decides which requests may be repeated", func(method, path string, want state.RepeatRule) {
		c, err := state.ParseConfig("f.yaml", []byte(validConfig))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Service("gate").Rule(method, path)).To(Equal(want))
	},
		Entry("by the longest prefix", "POST", "/passes/7", state.RepeatNever),
		Entry("by method", "GET", "/passes/7", state.RepeatAllowed),
		Entry("by whole path segments", "POST", "/passesX", state.RepeatAllowed),
	)
	It("forbids repeats where no route matches", func() {
		Expect((&state.Service{}).Rule("GET", "/")).To(Equal(state.RepeatNever))
	})
})

var _ = Describe("Snapshot", func() {
	build := func(st map[state.UpstreamID]state.Status) *state.Snapshot {
		text := strings.Replace(validConfig, "version: 3\n", "version: 3\nregions: [{name: r1, domains: [a]}, {name: r2, domains: [b]}]\n", 1)
		c, err := state.ParseConfig("f.yaml", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		member := func(id string, d state.FailureDomain, s state.MemberState) state.Member {
			return state.Member{ID: id, Kind: state.KindEngine, Group: "g", Domain: d, State: s, Incarnation: 1}
		}
		l := state.NewMemberList(1, nil, []state.Member{member("near", "a", state.Live), member("far", "b", state.Live), member("left", "a", state.Leaving)})
		return state.BuildSnapshot(state.Inputs{Config: c, Members: l, Status: st, Domain: "a", Hash: coordination.Hash})
	}
	ids := func(p *state.Pool) (out []state.UpstreamID) {
		for _, c := range p.Candidates {
			out = append(out, c.ID)
		}
		return out
	}
	It("has the engines of the daemon's region for models and adapters, except leaving ones", func() {
		s := build(nil)
		Expect(ids(s.Model("m"))).To(Equal([]state.UpstreamID{"near"}))
		Expect(ids(s.Model("a"))).To(Equal([]state.UpstreamID{"near"}))
	})
	It("excludes engines outside the failure domains of their group", func() {
		c, err := state.ParseConfig("f.yaml", []byte(strings.Replace(validConfig, "    models: [m]\n", "    models: [m]\n    domains: [b]\n", 1)))
		Expect(err).NotTo(HaveOccurred())
		l := state.NewMemberList(1, nil, []state.Member{
			{ID: "in", Kind: state.KindEngine, Group: "g", Domain: "b", State: state.Live},
			{ID: "out", Kind: state.KindEngine, Group: "g", Domain: "a", State: state.Live},
		})
		s := state.BuildSnapshot(state.Inputs{Config: c, Members: l, Domain: "a", Hash: coordination.Hash})
		Expect(ids(s.Model("m"))).To(Equal([]state.UpstreamID{"in"}))
	})
	It("falls back to another region if none is left", func() {
		s := build(map[state.UpstreamID]state.Status{"near": {State: state.Leaving}})
		Expect(ids(s.Model("m"))).To(Equal([]state.UpstreamID{"far"}))
	})
})

func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("version: 1\nworkspaces: [{name: w, keys: [1]}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := state.ParseConfig("f.yaml", text)
		if (c == nil) == (err == nil) {
			t.Fatalf("config %v with error %v", c, err)
		}
	})
}
