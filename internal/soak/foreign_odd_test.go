package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hingewinch.org/hingewinch/platform"
	"hingewinch.org/hingewinch/platform/standin"
)

// TestOddEntriesNameNoReplica guards against an odd entry that daemons may use, so that a connection to its address is no
// fault of theirs.
func TestOddEntriesNameNoReplica(t *testing.T) {
	const prefix = "servers/"
	if _, err := platform.ParseReplica(prefix+"i-1", []byte(soundEntry("s", "127.0.0.1:1", "ready", ""))); err != nil {
		t.Fatalf("the sound entry is not valid: %v", err)
	}
	for variant := range len(oddFields) + len(rawValues) {
		o := oddValue(variant, "i-1", "s", "127.0.0.1:1")
		if _, err := platform.ParseReplica(prefix+o.key, []byte(o.value)); err == nil {
			t.Errorf("an odd value names a replica: %.80s", o.value)
		}
	}
	kinds := make(map[string]int)
	for variant := range 4 * 60 {
		o := newOddEntry(variant, "foreign-1-1", "s", "127.0.0.1:1")
		r, err := platform.ParseReplica(prefix+strings.ToValidUTF8(o.key, "\ufffd"), []byte(o.value))
		if err == nil && !r.Draining {
			t.Errorf("an odd entry names a replica that does not leave: key %q, value %.200s", o.key, o.value)
		}
		kinds[fmt.Sprintf("draining %t raw %t", err == nil, o.isRaw)]++
	}
	if len(kinds) != 3 {
		t.Errorf("kinds of odd entries: %v", kinds)
	}
}

// TestStoreSendsOddItems guards against a stand-in that repairs what it is told to send, or sends nothing: the daemons would see
// sound items, or a store that is away.
func TestStoreSendsOddItems(t *testing.T) {
	s := standin.NewStore(50)
	endpoint, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	s.PutEntry("a\xff\xfe", []byte("v"))
	for i, value := range rawValues {
		s.PutRawEntry(fmt.Sprint("b", i), []byte(value))
	}
	s.PutEntry("c", []byte("v"))
	for _, path := range []string{"/api/kv-range", "/api/kv-watch?after_revision=0&wait_ms=100"} {
		resp, err := http.Get("http://" + endpoint.Address() + path)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range append([]string{"a\xff\xfe", `c","value":"dg=="`}, rawValues...) {
			if !strings.Contains(string(body), want) {
				t.Errorf("%s does not send %.40q", path, want)
			}
		}
	}
}

// TestReportsDaemonsThatEndByThemselves guards against a daemon whose end passes for one that the run asked for.
func TestReportsDaemonsThatEndByThemselves(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	for _, asked := range []bool{false, true} {
		l := newLedger(defaultBounds())
		f := &fleet{dir: t.TempDir(), ledger: l, ctx: ctx}
		d := &daemon{number: 3, fleet: f, terminating: asked}
		time.AfterFunc(restartPause/2, cancel) // so that it is not restarted
		d.afterExit(errors.New("signal: aborted"), 0)
		found := slices.ContainsFunc(l.Check(time.Now()), func(v Violation) bool { return v.Promise == "RUNS" && v.Subject == "d3" })
		if found == asked {
			t.Errorf("asked to end %t: reported %t", asked, found)
		}
		ctx, cancel = context.WithCancel(t.Context())
	}
	cancel()
}
