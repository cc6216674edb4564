package catkinrail

import (
	"fmt"

	"github.com/ansel1/merry/v2"
)

type errorKey string

const (
	stepKey errorKey = "step"
	peerKey errorKey = "peer"
)

// At wraps err with the step that failed and the peer involved, and puts both in
// front of its message. The peer may be empty. A nil error stays nil.
func At(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	prefix := step
	if peer != "" {
		prefix = fmt.Sprintf("%s %s", step, peer)
	}
	return merry.Wrap(err,
		merry.NoCaptureStack(),
		merry.WithValue(stepKey, step),
		merry.WithValue(peerKey, peer),
		merry.PrependMessage(prefix),
	)
}

// StepOf returns the outermost step that At added to err, or an empty string.
func StepOf(err error) string {
	s, _ := merry.Value(err, stepKey).(string)
	return s
}

// PeerOf returns the outermost peer that At added to err, or an empty string.
func PeerOf(err error) string {
	s, _ := merry.Value(err, peerKey).(string)
	return s
}
