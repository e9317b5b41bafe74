package soak

import (
	"testing"
	"time"
)

// TestDeliveriesTellWhatADaemonRead guards against a backoff that is excused although the daemon read it,
// and against one that is judged although it can't have.
func TestDeliveriesTellWhatADaemonRead(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(d *deliveries, c *delivery)
		want bool
	}{
		{"delivered, the connection stays open", func(d *deliveries, c *delivery) { d.recordDelivery(c, 1, at(100.01)) }, true},
		{"delivered, the connection is closed later", func(d *deliveries, c *delivery) {
			d.recordDelivery(c, 1, at(100.01))
			d.recordClose(c, at(100.2))
		}, true},
		{"delivered as the daemon closed the connection", func(d *deliveries, c *delivery) {
			d.recordDelivery(c, 1, at(100.01))
			d.recordClose(c, at(100.02))
		}, false},
		{"closed before the replica said it", func(d *deliveries, c *delivery) {
			d.recordClose(c, at(99.99))
			d.recordDelivery(c, 1, at(100.01))
		}, false},
		{"never delivered", func(d *deliveries, c *delivery) { d.recordDelivery(c, 1, at(99.9)) }, false},
		{"another connection from the same address since", func(d *deliveries, c *delivery) {
			d.recordDelivery(c, 1, at(100.01))
			d.open("a", "", at(101))
		}, true},
	} {
		d := &deliveries{}
		conn := d.open("a", "", at(99))
		c.play(d, conn)
		if got, what := d.read("a", at(100)); got != c.want {
			t.Errorf("%s: read %t (%s), want %t", c.name, got, what, c.want)
		}
	}
	if read, _ := (&deliveries{}).read("b", time.Time{}); !read {
		t.Error("a response on a connection that is not known is excused")
	}
}

// TestDeliveriesCountBytes guards against a response that is taken for delivered, or for held by a link, by the bytes of another
// time.
func TestDeliveriesCountBytes(t *testing.T) {
	d := &deliveries{}
	conn := d.open("a", "", at(99))
	for i, bytes := range []int{1, 20, 300, 4000} {
		d.recordDelivery(conn, bytes, at(100+float64(i)))
	}
	record, ok := d.connection("a", at(100))
	if got := record.bytesBetween(at(101), at(102)); !ok || got != 320 {
		t.Errorf("%d bytes, want 320", got)
	}
}

// TestDeliveriesTellConnectionsApart guards against a reset of one connection that is taken for one of another, to another
// replica, with the same source port.
func TestDeliveriesTellConnectionsApart(t *testing.T) {
	d := &deliveries{}
	first := d.open(connName("a:1", "b:1"), "c", at(99))
	d.open(connName("a:1", "b:2"), "e", at(99.5))
	d.recordReset(first, at(100))
	for _, c := range []struct {
		to, source string
		reset      bool
	}{{"b:1", "c", true}, {"b:2", "e", false}} {
		record, ok := d.connection(connName("a:1", c.to), at(101))
		if !ok || record.source != c.source || record.reset.IsZero() == c.reset {
			t.Errorf("connection to %s: %+v, %t", c.to, record, ok)
		}
	}
}
