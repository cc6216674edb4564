package catkinrail

import (
	"context"
	"errors"
	"net/netip"
)

// ErrUnavailable means that this instance can't answer for now and that another
// one may.
var ErrUnavailable = errors.New("not available at this instance for now")

// DocumentStore keeps the operators' document.
type DocumentStore interface {
	// PutDocument returns once the document, or a later one, is committed. A
	// document that is not newer than the one in force changes nothing.
	PutDocument(ctx context.Context, d *Document) error
	// CurrentDocument returns the newest document, proved current after the
	// call began. It returns nil if there is none yet, and ErrUnavailable if
	// there is no proof.
	CurrentDocument(ctx context.Context) (*Document, error)
}

// BackendRegistry takes what backend servers say of themselves.
type BackendRegistry interface {
	// Report takes a report. It returns the control instance that the backend
	// server should report to from now on; invalid if any will do.
	Report(inc *Incarnation) netip.AddrPort
	// Leave takes the end of an incarnation. Born is zero if the backend server
	// didn't say which.
	Leave(name string, born int64)
}
