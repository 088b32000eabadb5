package passthrough

import (
	"context"
	"io"
	"slices"
	"time"

	"azurehitch"
	"azurehitch/internal/forward/place"
	"azurehitch/internal/memory/admission"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

var (
	// errTakenOver is why a silent server is left.
	errTakenOver  = errors.New("silent, another server took over")
	errSameServer = errors.New("no other server is free")
)

// source is a server and its response, from which a relay reads events.
type source struct {
	choice   place.Choice
	exchange *connpool.Exchange
	reader   *eventReader
	// memory is the part of the shared memory budget that is reserved for long events until they
	// are passed on.
	memory *admission.Reservation
}

func (r *request) newSource(choice place.Choice, exchange *connpool.Exchange) source {
	memory := r.server.Connections.Memory().NewReservation()
	return source{
		choice: choice, exchange: exchange, memory: memory,
		reader: newEventReader(exchange, r.server.settings.MaxEvent, memory),
	}
}

// end ends the use of the server.
func (s source) end() {
	s.memory.Release()
	s.exchange.Close()
	s.choice.End()
}

// takeover asks other servers to take over a stream while its server is silent. The silent server
// keeps the stream until another one has sent the next event, or for good if it sends an event before that.
//
// While the goroutine of the takeover runs, it alone changes the attempts of the request. It ends
// before wait returns.
type takeover struct {
	contest
	request *request
	silent  source
	group   errgroup.Group
	// stopWaiting ends the wait for the time of the next attempt.
	stopWaiting context.CancelFunc
}

// newTakeover returns the takeover of a stream whose events come from the given source. If the stream
// may run only once, no other server is asked.
func newTakeover(r *request, from source) *takeover {
	t := &takeover{request: r, silent: from, stopWaiting: func() {}}
	if r.route.MayRepeat() {
		var ctx context.Context
		ctx, t.stopWaiting = context.WithCancel(r.ctx)
		t.group.Go(func() error { return t.run(ctx) })
	}
	return t
}

// run asks other servers each time that one is due. It always returns nil.
func (t *takeover) run(ctx context.Context) error {
	clock := t.request.server.Clock
	plan := newTakeoverPlan(clock.Now())
	for clock.Sleep(ctx, plan.due.Sub(clock.Now())) == nil {
		if !plan.isDue(t.waitsSince(), clock.Now()) {
			continue
		}
		if isLast := t.attempt(plan.silentSince); isLast {
			return nil
		}
		plan.failed(clock.Now())
	}
	return nil
}

// attempt asks one server, if the relay still waits since the given time. It returns true if no other
// attempt is to follow.
func (t *takeover) attempt(silentSince time.Time) (isLast bool) {
	r := t.request
	ctx, at, ok := t.begin(r.ctx, silentSince)
	if !ok {
		return false
	}
	defer t.endAttempt()
	choice, err := t.place(ctx, at.lastEventAt)
	silence := r.server.Clock.Now().Sub(silentSince).Round(time.Millisecond).String()
	if err != nil {
		r.attempts.note(t.silent.choice.Server.ID + " silent for " + silence + ", not moved: " + err.Error())
		return errors.Is(err, errAttemptsUsed)
	}
	exchange, res := r.resumedExchange(ctx, choice, at.ids.last)
	if exchange != nil {
		next := r.newSource(choice, exchange)
		err := next.awaitEvent(at.ids)
		if err == nil && t.win(next, t.leaveSilent) {
			return true
		}
		next.end()
		res = t.lost(ctx, choice, err)
	}
	r.countTakeover(res)
	r.attempts.add(choice, "beside "+t.silent.choice.Server.ID+", silent for "+silence+": "+res.cause.Error())
	return res.isBarred
}

// lost returns the result of an attempt whose server has not become the source because of err, or
// because the silent server went on first.
func (t *takeover) lost(ctx context.Context, choice place.Choice, err error) result {
	if err == nil || ctx.Err() != nil {
		return result{run: azurehitch.RunStateUnknown, cause: context.Canceled}
	}
	t.request.recordError(choice, err, time.Time{})
	return result{run: azurehitch.RunStateUnknown, cause: err}
}

// awaitEvent waits until the server has sent the event after those with the given ids, or a complete
// response without events.
func (s source) awaitEvent(ids eventIDs) error {
	event, err := s.reader.peek()
	switch {
	case err == io.EOF && len(event) == 0 && !s.exchange.IsCloseDelimited():
		return nil
	case err != nil:
		return err
	}
	return ids.checkNext(eventID(event))
}

// place chooses another server, and charges the attempt to the retry budget.
func (t *takeover) place(ctx context.Context, lastEventAt time.Time) (place.Choice, error) {
	r := t.request
	if err := r.chargeTakeover(); err != nil {
		return place.Choice{}, err
	}
	silentID := t.silent.choice.Server.ID
	choice, err := r.placeBegun(ctx, append(slices.Clone(r.serversToAvoid), silentID), lastEventAt)
	if err == nil && choice.Server.ID == silentID {
		choice.End()
		err = errSameServer
	}
	if err != nil {
		r.refundCharge()
	}
	return choice, err
}

// leaveSilent ends the wait of the relay for the silent server.
func (t *takeover) leaveSilent() {
	t.silent.exchange.SetReadDeadline(t.request.ctx, time.Unix(1, 0))
}

// sourceEnded records that the silent server is used no longer. An attempt in progress goes on. It
// reports whether another server has taken the stream over before.
func (t *takeover) sourceEnded() (isTakenOver bool) {
	t.stopWaiting()
	return t.close()
}

// wait waits for the attempt in progress after sourceEnded, and returns the server that has taken the
// stream over.
func (t *takeover) wait() (next source, ok bool) {
	// The group returns no errors.
	_ = t.group.Wait()
	return t.result()
}

// stop ends the takeover after sourceEnded, together with the attempt in progress.
func (t *takeover) stop() {
	t.endAttempt()
	if unused, ok := t.wait(); ok {
		unused.end()
		t.request.attempts.add(unused.choice, "no longer needed")
	}
}

// chargeTakeover charges a takeover to the retry budget, or returns why there must be none. The
// silent server counts as one that may have run the request.
func (r *request) chargeTakeover() error {
	if r.unknownOutcomes+1 >= r.route.MaxAttempts || r.isSentTooOften() {
		return errAttemptsUsed
	}
	if !r.spendRetry() {
		return errBudgetSpent
	}
	return nil
}

// countTakeover counts an attempt that did not take the stream over.
func (r *request) countTakeover(res result) {
	r.countOutcome(res)
	r.refundCharge()
}

// placeBegun chooses another server for a stream that has begun. Such a stream can't be refused any
// more, so a planned stop does not end the wait for a server.
func (r *request) placeBegun(ctx context.Context, avoid []string, lastEventAt time.Time) (place.Choice, error) {
	request := r.placeRequest()
	request.Avoid, request.Deadline = avoid, r.placeDeadline(lastEventAt)
	return r.askPlacer(ctx, request)
}

// resumedExchange asks a server to go on with the stream after an event. If its response does not
// continue the stream, it returns no exchange, the cause in the result, and ends the choice.
func (r *request) resumedExchange(ctx context.Context, choice place.Choice, lastEventID string) (*connpool.Exchange, result) {
	exchange, _, res := r.exchange(ctx, choice, lastEventID)
	if exchange == nil {
		choice.End()
		return nil, res
	}
	if err := r.checkResumed(exchange); err != nil {
		exchange.Close()
		choice.End()
		r.serversToAvoid = append(r.serversToAvoid, choice.Server.ID)
		return nil, result{run: azurehitch.RunStateUnknown, cause: err}
	}
	return exchange, result{}
}
