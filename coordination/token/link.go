package token

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/upload"
)

// packetOverhead is the size of the headers of a packet that the link carries, in bytes.
const packetOverhead = 60

// SetLinkRate sets the rate, in bytes a second, to which packets are paced; zero if the link is
// unlimited.
func (e *Engine) SetLinkRate(bytesPerSecond float64) {
	e.uploads.SetLink(bytesPerSecond)
}

// SetLinkWait sets the time for which a packet of each class waits for the link.
func (e *Engine) SetLinkWait(wait [egress.NumClasses]time.Duration) {
	e.linkWait = wait
}

// linkFull reports whether a request on the route would miss its latency target because
// of the link alone. Its packets pass the instance at least twice, in the handshake and
// in the request; uploads also wait for the bodies that were admitted before.
func (e *Engine) linkFull(r *catkinrail.Route, now int64) bool {
	target := r.LatencyTarget
	if target <= 0 {
		target = defaultLatencyTarget
	}
	if r.Kind != catkinrail.KindUpload {
		return 2*e.linkWait[egress.ClassOpening] > target
	}
	wait := e.linkWait[egress.ClassBulk]
	return 2*wait > target || e.uploads.Full(e.sizes(r), target, wait, now)
}

// sizes returns the sizes of the bodies on a route that takes uploads.
func (e *Engine) sizes(r *catkinrail.Route) *upload.Sizes {
	s := e.uploadSizes[r.Name]
	if s == nil {
		s = &upload.Sizes{}
		e.uploadSizes[r.Name] = s
	}
	return s
}

// forgetSizes drops the sizes of routes that the document no longer has.
func (e *Engine) forgetSizes() {
	kept := make(map[string]*upload.Sizes, len(e.uploadSizes))
	for i := range e.document.Routes {
		if s := e.uploadSizes[e.document.Routes[i].Name]; s != nil {
			kept[e.document.Routes[i].Name] = s
		}
	}
	e.uploadSizes = kept
}

// Uploads returns the number of bodies that were admitted and haven't ended, and the bytes that
// are expected of them.
func (e *Engine) Uploads() (n int, expected int64) {
	return e.uploads.Bodies()
}
