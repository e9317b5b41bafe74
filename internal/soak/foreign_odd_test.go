package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// TestStoreSendsOddItems guards against a stand-in that repairs what it is told to send: the daemons would see sound items.
func TestStoreSendsOddItems(t *testing.T) {
	s := standin.NewStore(50)
	endpoint, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	s.PutEntry("a\xff\xfe", []byte("v"))
	s.PutRawEntry("b", []byte(`{"c":[1]}`))
	s.PutEntry("d", []byte("v"))
	resp, err := http.Get("http://" + endpoint.Address() + "/api/kv-range")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var page struct {
		Items []struct {
			Key   string          `json:"private_key"`
			Value json.RawMessage `json:"value"`
		} `json:"items"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, it := range page.Items {
		values = append(values, string(it.Value))
	}
	if !slices.Equal(values, []string{`"dg=="`, `{"c":[1]}`, `"dg=="`}) {
		t.Errorf("values %v", values)
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
