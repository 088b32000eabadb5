package passthrough

import (
	"time"

	"azurehitch/internal/forward/place"
	"azurehitch/internal/forward/quarantine"
	"azurehitch/internal/transport/connpool"

	"github.com/pkg/errors"
)

// quarantineRequest returns what the quarantine knows of the request.
func (r *request) quarantineRequest() quarantine.Request {
	return quarantine.Request{Service: r.service.Name, Fingerprint: r.fingerprint, Parts: r.SharedParts}
}

// crashTime is the time from the first event of an answer after which the request is no longer
// suspected of crashing its server.
const crashTime = 300 * time.Millisecond

// recordBrokenOff records that a server broke off the request, which may have crashed it. A server
// that has sent events for a while did not crash because of this request.
func (r *request) recordBrokenOff(choice place.Choice, err error, firstEventAt time.Time) {
	var failed *connpool.ErrExchange
	isUnsent := errors.As(err, &failed) && !failed.Sent
	if !isUnsent && !hasStreamedLong(firstEventAt, r.server.Clock.Now()) {
		r.server.Quarantine.BrokenOff(r.quarantineRequest(), choice.Server)
	}
}

// hasStreamedLong reports whether the first event of a response came so long ago that the prompt does
// not crash its server.
func hasStreamedLong(firstEventAt, now time.Time) bool {
	return !firstEventAt.IsZero() && now.Sub(firstEventAt) >= crashTime
}

// recordEvent records an event of a response whose first event came at firstEventAt. The end of the
// stream may come much later.
func (r *request) recordEvent(firstEventAt, now time.Time) {
	if !r.isKnownSound && hasStreamedLong(firstEventAt, now) {
		r.recordSound()
	}
}

// recordComplete records that a server has answered the request. If only the close of the connection
// shows the end of the answer, the server may have crashed instead.
func (r *request) recordComplete(choice place.Choice, exchange *connpool.Exchange) {
	if exchange.IsCloseDelimited() {
		r.server.Quarantine.ProbablyAnswered(r.quarantineRequest(), choice.Server)
		return
	}
	r.recordSound()
}

// recordSound records that a server has answered the request.
func (r *request) recordSound() {
	r.isKnownSound = true
	r.server.Quarantine.Answered(r.quarantineRequest())
}
