// This file serves operators on a separate listener: status, upstreams, timeline and
// metrics, all read-only.

package gateway

import (
	"bytes"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/fleet"
	"hingewinch.org/hingewinch/protocol"
	"hingewinch.org/hingewinch/state"
	"hingewinch.org/hingewinch/transport"
)

// Paths of the operators' listener.
const (
	PathStatus  = "/status"
	PathEngines = "/engines"
	PathPlace   = "/chats/place"
	PathMetrics = "/metrics"
)

// StatusAnswer is the response to GET /status.
type StatusAnswer struct {
	Daemon      state.DaemonID      `json:"daemon"`
	Incarnation state.Incarnation   `json:"incarnation"`
	Domain      state.FailureDomain `json:"domain"`
	Config      string              `json:"config"`
	List        string              `json:"list"`
	ListAgeMS   int64               `json:"list_age_ms"` // -1: not confirmed
	Draining    bool                `json:"draining"`
	Requests    int64               `json:"requests"`
	OpenStreams int64               `json:"open_streams"`
	Version     string              `json:"version"`
}

// EngineAnswer is one upstream in the response to GET /engines.
type EngineAnswer struct {
	ID      state.UpstreamID    `json:"id"`
	Pool    string              `json:"pool"`
	Domain  state.FailureDomain `json:"domain"`
	Address string              `json:"address"`
	Gate    string              `json:"gate"`
	Load    float64             `json:"load"` // in requests
}

// PlaceAnswer is the response to GET /chats/place: where a chat is sent at present.
type PlaceAnswer struct {
	Upstream state.UpstreamID `json:"upstream"`
	Address  string           `json:"address"`
}

// Operator serves the operators' listener.
type Operator struct {
	Self        state.DaemonID
	Incarnation state.Incarnation
	Domain      state.FailureDomain
	Version     string
	Snapshot    func() *state.Snapshot
	Recorder    *transport.Recorder
	Metrics     *Metrics
	Draining    func() bool
}

// Handler returns the HTTP handler.
func (o *Operator) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get(PathStatus, func(ctx iris.Context) { _ = ctx.JSON(o.status()) })
	app.Get(PathEngines, func(ctx iris.Context) { _ = ctx.JSON(o.engines()) })
	app.Get(PathPlace, o.place)
	app.Get(transport.PathTimeline, func(ctx iris.Context) { _ = ctx.JSON(o.Recorder.Events()) })
	app.Get(PathMetrics, func(ctx iris.Context) {
		var buf bytes.Buffer
		_ = o.Metrics.WriteText(&buf) // writes to a buffer don't fail
		_, _ = ctx.Write(buf.Bytes())
	})
	if err := app.Build(); err != nil {
		return nil, eris.Wrap(err, "build operators' endpoints")
	}
	return app, nil
}

func (o *Operator) status() StatusAnswer {
	a := StatusAnswer{
		Daemon: o.Self, Incarnation: o.Incarnation, Domain: o.Domain, Version: o.Version,
		ListAgeMS: -1, Draining: o.Draining(), Requests: o.Metrics.Requests.Count(), OpenStreams: o.Metrics.OpenStreams.Count(),
	}
	s := o.Snapshot()
	if s == nil {
		return a
	}
	if s.Config != nil {
		a.Config = s.Config.Head().String()
	}
	if s.Members != nil {
		a.List = s.Members.Head.String()
	}
	if !s.Ownership.Confirmed.IsZero() {
		a.ListAgeMS = time.Since(s.Ownership.Confirmed).Milliseconds()
	}
	return a
}

func (o *Operator) engines() []EngineAnswer {
	out := []EngineAnswer{}
	s := o.Snapshot()
	if s == nil || s.Config == nil {
		return out
	}
	for _, m := range s.Config.Models {
		out = appendPool(out, string(m.Name), s.Model(m.Name))
	}
	for _, svc := range s.Config.Services {
		out = appendPool(out, string(svc.Name), s.Service(svc.Name))
	}
	return out
}

const loadUnit = 1000 // thousandths in one request

func appendPool(out []EngineAnswer, name string, p *state.Pool) []EngineAnswer {
	for _, c := range p.Candidates {
		out = append(out, EngineAnswer{ID: c.ID, Pool: name, Domain: c.Domain, Address: c.Address, Gate: c.Admission.String(), Load: float64(c.Load) / loadUnit})
	}
	return out
}

// place returns where a chat would be sent: ?workspace=W&model=M&chat=ID.
func (o *Operator) place(ctx iris.Context) {
	s := o.Snapshot()
	if s == nil {
		ctx.StopWithText(http.StatusServiceUnavailable, "no member list is known")
		return
	}
	w, m, chat := ctx.URLParam("workspace"), ctx.URLParam("model"), ctx.URLParam("chat")
	key := coordination.ChatKeyOf(state.WorkspaceID(w), state.ModelID(m), []byte(chat))
	c, ok := fleet.Choose(s.Model(state.ModelID(m)), key, nil)
	if !ok {
		ctx.StopWithText(http.StatusNotFound, "no engine serves model %q; check the name with hingectl engines", m)
		return
	}
	ctx.Header(protocol.HeaderUpstream, string(c.ID))
	_ = ctx.JSON(PlaceAnswer{Upstream: c.ID, Address: c.Address})
}
