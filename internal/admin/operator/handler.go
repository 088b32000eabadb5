package operator

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"azurehitch"
	"azurehitch/internal/configuration/configlog"
	"azurehitch/internal/configuration/tables"
	"azurehitch/internal/forward/caller"
	"azurehitch/internal/oplog/control"
	"azurehitch/internal/oplog/follow"
	"azurehitch/internal/peer/peerpb"
	"azurehitch/internal/placement/enginepool"
	"azurehitch/internal/telemetry/metrics"
	"azurehitch/internal/transport/jsonhttp"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// The paths of the API.
const (
	PathConfiguration = "/admin/v1/configuration"
	PathCheck         = "/admin/v1/configuration/check"
	PathDaemons       = "/admin/v1/daemons"
	PathPools         = "/admin/v1/pools"
	PathDrain         = "/admin/v1/drain"
	PathHealth        = "/healthz"
	PathVariables     = "/debug/vars"
)

const (
	publishTimeout = 10 * time.Second
	statusTimeout  = time.Second
)

// Dependencies are the parts of the daemon that the API uses.
type Dependencies struct {
	Store    *control.Store
	Recorder enginepool.Recorder
	Pools    *enginepool.Set
	Callers  *caller.Server
	Metrics  *metrics.Metrics
	// Daemons returns the names of the live daemons.
	Daemons func() []string
	// Status requests the status of a daemon, which may be this one.
	Status func(ctx context.Context, daemon string) (*peerpb.StatusResponse, error)
	// Drain starts a planned stop of this daemon.
	Drain func()
	// IsDraining reports whether a planned stop has started.
	IsDraining func() bool
	// KeySHA256 is the hexadecimal SHA-256 digest of the operators' key; empty means that
	// requests need no key.
	KeySHA256 string
}

// NewHandler returns the handler of the API. The health check needs no key.
func NewHandler(d Dependencies) fasthttp.RequestHandler {
	variables := d.Metrics.Handler()
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if path == PathHealth {
			d.serveHealth(ctx)
			return
		}
		if !d.isAuthorized(ctx) {
			fail(ctx, fasthttp.StatusUnauthorized, Failure{Code: FailureNotAuthorized, Reason: "the Authorization header does not hold the operators' key"})
			return
		}
		switch {
		case path == PathVariables:
			variables(ctx)
		case path == PathConfiguration && ctx.IsPost():
			d.servePublish(ctx)
		case path == PathConfiguration:
			jsonhttp.Write(ctx, fasthttp.StatusOK, tablesFromState(d.Store.Published()))
		case path == PathCheck && ctx.IsPost():
			d.serveCheck(ctx)
		case path == PathDaemons:
			jsonhttp.Write(ctx, fasthttp.StatusOK, d.daemons(jsonhttp.Context(ctx)))
		case path == PathPools:
			jsonhttp.Write(ctx, fasthttp.StatusOK, d.pools())
		case path == PathDrain && ctx.IsPost():
			d.Drain()
			ctx.SetStatusCode(fasthttp.StatusAccepted)
		default:
			fail(ctx, fasthttp.StatusNotFound, Failure{Code: FailureNotFound, Reason: "the API has no " + path})
		}
	}
}

func fail(ctx *fasthttp.RequestCtx, status int, failure Failure) {
	jsonhttp.Write(ctx, status, failure)
}

func (d Dependencies) isAuthorized(ctx *fasthttp.RequestCtx) bool {
	if d.KeySHA256 == "" {
		return true
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	matches := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(digest[:])), []byte(d.KeySHA256)) == 1
	return ok && matches
}

// serveHealth answers the health check of the platform's load balancer. The daemon takes
// requests once it has a configuration and until it drains.
func (d Dependencies) serveHealth(ctx *fasthttp.RequestCtx) {
	if d.IsDraining() || d.Store.Configuration().Version == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// readPublication reads the tables of a request and validates them against their base version.
// If they are rejected, it writes the answer and returns false.
func (d Dependencies) readPublication(ctx *fasthttp.RequestCtx, baseOf func(Publication) int64) (configlog.Publication, bool) {
	var p Publication
	if !jsonhttp.Read(ctx, &p) {
		return configlog.Publication{}, false
	}
	p.Base = baseOf(p)
	timeoutCtx, cancel := context.WithTimeout(jsonhttp.Context(ctx), publishTimeout)
	defer cancel()
	publication, err := d.edit(timeoutCtx, p)
	if err != nil {
		failEdit(ctx, err)
		return configlog.Publication{}, false
	}
	return publication, true
}

// edit returns the publication of a request. An omitted table is taken from the base version.
func (d Dependencies) edit(ctx context.Context, p Publication) (configlog.Publication, error) {
	base, err := d.Store.AwaitPublished(ctx, p.Base)
	if err != nil {
		return configlog.Publication{}, err
	}
	if isOmitted(p.Routes) {
		p.Routes = base.RouteTable()
	}
	if isOmitted(p.Pools) {
		p.Pools = base.PoolTable()
	}
	if _, err := tables.Parse(p.Routes, p.Pools); err != nil {
		return configlog.Publication{}, err
	}
	return base.Edit(p.Routes, p.Pools, p.Author)
}

// isOmitted reports whether a request omits a table. The JSON encoder of the client writes an
// omitted table as null.
func isOmitted(table json.RawMessage) bool { return len(table) == 0 || string(table) == "null" }

func failEdit(ctx *fasthttp.RequestCtx, err error) {
	var invalid *tables.ErrTables
	var conflict *configlog.ErrConflict
	var unreadable *configlog.ErrUnreadable
	switch {
	case errors.As(err, &invalid):
		fail(ctx, fasthttp.StatusUnprocessableEntity, Failure{
			Code: FailureInvalidTables, Reason: "the tables are not valid; nothing was changed", Mistakes: mistakesFrom(invalid),
		})
	case errors.As(err, &conflict):
		failConflict(ctx, conflict)
	case errors.As(err, &unreadable):
		fail(ctx, fasthttp.StatusConflict, Failure{Code: FailureUnreadable, Reason: err.Error(), Current: unreadable.Version})
	default:
		fail(ctx, fasthttp.StatusServiceUnavailable, Failure{Code: FailureLogUnavailable, Reason: err.Error()})
	}
}

func failConflict(ctx *fasthttp.RequestCtx, conflict *configlog.ErrConflict) {
	fail(ctx, fasthttp.StatusConflict, Failure{
		Code: FailureConflict, Reason: conflict.Error(), Current: conflict.Current, CurrentAuthor: conflict.Author,
	})
}

// serveCheck validates tables against their base version, or against the version in force if
// the request names no base.
func (d Dependencies) serveCheck(ctx *fasthttp.RequestCtx) {
	inForce := func(p Publication) int64 { return cmp.Or(p.Base, d.Store.Published().Version) }
	if _, ok := d.readPublication(ctx, inForce); ok {
		jsonhttp.Write(ctx, fasthttp.StatusOK, struct{ Valid bool }{Valid: true})
	}
}

func (d Dependencies) servePublish(ctx *fasthttp.RequestCtx) {
	publication, ok := d.readPublication(ctx, func(p Publication) int64 { return p.Base })
	if !ok {
		return
	}
	timeoutCtx, cancel := context.WithTimeout(jsonhttp.Context(ctx), publishTimeout)
	defer cancel()
	verdict, err := d.Recorder.Append(timeoutCtx, control.Record{Publication: &publication})
	if err != nil {
		failAppend(ctx, err)
		return
	}
	var conflict *configlog.ErrConflict
	switch {
	case verdict.Err == nil:
		jsonhttp.Write(ctx, fasthttp.StatusOK, Published{Version: verdict.Offset})
	case errors.As(verdict.Err, &conflict):
		failConflict(ctx, conflict)
	default:
		fail(ctx, fasthttp.StatusInternalServerError, Failure{Code: FailureOutcomeUnknown, Reason: verdict.Err.Error()})
	}
}

func failAppend(ctx *fasthttp.RequestCtx, err error) {
	failure := Failure{Code: FailureOutcomeUnknown, Reason: err.Error()}
	var failed *azurehitch.ErrLog
	var unknown *follow.ErrOutcomeUnknown
	if errors.As(err, &failed) && !errors.As(err, &unknown) {
		failure = Failure{Code: FailureLogUnavailable, Reason: "the log can't take the publication; nothing was changed"}
	}
	fail(ctx, fasthttp.StatusServiceUnavailable, failure)
}

func (d Dependencies) daemons(ctx context.Context) []DaemonStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := []DaemonStatus{}
	for _, name := range d.Daemons() {
		status, err := d.Status(ctx, name)
		if err != nil {
			statuses = append(statuses, DaemonStatus{Daemon: name})
			continue
		}
		statuses = append(statuses, statusFromProto(status))
	}
	return statuses
}

func (d Dependencies) pools() []PoolStatus {
	usage := d.Callers.PoolUsage()
	held := map[string]*HeldPool{}
	for _, status := range d.Pools.Status() {
		held[status.Pool] = heldFrom(status)
	}
	statuses := []PoolStatus{}
	for _, name := range d.poolNames() {
		status := poolFrom(name, d.Store.Lease(name), usage[name])
		status.Held = held[name]
		statuses = append(statuses, status)
	}
	return statuses
}

// poolNames returns the names of the pools of the table, and of the pools removed from it that
// still have servers.
func (d Dependencies) poolNames() []string {
	var names []string
	for _, pool := range d.Store.Configuration().Pools.Pools {
		names = append(names, pool.Name)
	}
	for _, setting := range d.Store.LeasedPools() {
		if !slices.Contains(names, setting.Name) {
			names = append(names, setting.Name)
		}
	}
	return names
}
