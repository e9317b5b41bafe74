package routes

import (
	"testing"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/state/feed"
)

// splitDocuments has a configuration with a route that is split by the weights 1 and the number of bytes of the document.
type splitDocuments struct{ fakeDocuments }

func (splitDocuments) ParseConfig(it feed.Item) (*routing.Table, error) {
	r := routing.Route{Name: "r", Host: "h", Prefix: "/", Kind: routing.Stream, Resumable: true, Timeout: 20 * time.Second}
	r.Shares = []routing.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: len(it.Value)}}
	return routing.NewTable(&routing.Config{Version: routing.ConfigVersion(it.Revision), Routes: []routing.Route{r}, Services: []routing.Service{{Name: "s"}, {Name: "t"}}})
}

// TestConfigurationRemembersTheFormerSplit guards against a daemon that resumes streams of before a change of weights at another
// service.
func TestConfigurationRemembersTheFormerSplit(t *testing.T) {
	c := newQuietControl(t)
	c.catalog = newCatalog(splitDocuments{}, c.log)
	now := time.Unix(1000, 0)
	former := func() (n int) {
		r, _ := c.view.Load().Table.Match("h", "/")
		for draw := range uint64(100) {
			if r.FormerService(draw, now) != "" {
				n++
			}
		}
		return n
	}
	for i, value := range []string{"1", "123"} {
		c.apply(c.catalog.feed.Apply([]feed.Item{{Key: "config", Value: []byte(value), Revision: feed.Revision(i + 1)}}), sourceStore, now)
		if got := former() > 0; got != (i > 0) {
			t.Errorf("after configuration %d streams have a former service: %t", i+1, got)
		}
	}
	if now = now.Add(20 * time.Second); former() > 0 {
		t.Error("streams have a former service after they have ended")
	}
}
