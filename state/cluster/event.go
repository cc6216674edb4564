// Package cluster holds the state that control instances agree on and entry
// instances follow: services with their bucket tables, backend servers, entry
// instances and the replica view.
package cluster

import "catkinrail.example/catkinrail"

// Event is one change of the state. Exactly one field is set.
//
// Events carry results, not inputs, so that releases that compute a table
// differently still hold the same state.
type Event struct {
	ServicePut     *ServicePut          `cbor:"1,keyasint,omitempty"`
	ServiceDeleted catkinrail.ServiceID `cbor:"2,keyasint,omitempty"`
	BackendPut     *catkinrail.Backend  `cbor:"3,keyasint,omitempty"`
	BackendRemoved catkinrail.BackendID `cbor:"4,keyasint,omitempty"`
	BucketsSet     *BucketsSet          `cbor:"5,keyasint,omitempty"`
	InstancePut    *catkinrail.Instance `cbor:"6,keyasint,omitempty"`
	// InstanceRemoved is an entry instance that left, was lost or was replaced by a
	// new incarnation.
	InstanceRemoved catkinrail.InstanceID `cbor:"7,keyasint,omitempty"`
	ViewSet         *catkinrail.View      `cbor:"8,keyasint,omitempty"`
	MovePut         *catkinrail.Move      `cbor:"9,keyasint,omitempty"`
	MoveRemoved     uint64                `cbor:"10,keyasint,omitempty"`
	Answer          *Answer               `cbor:"11,keyasint,omitempty"`
	ZoneLost        *ZoneLost             `cbor:"12,keyasint,omitempty"`
	// QuarantineEnded is the name of an endpoint whose quarantine has ended.
	QuarantineEnded string `cbor:"13,keyasint,omitempty"`
	// DocumentPut replaces the operator's document.
	DocumentPut *catkinrail.Document `cbor:"14,keyasint,omitempty"`
	// ZoneEvacuated begins or ends the evacuation of a zone.
	ZoneEvacuated *ZoneEvacuated `cbor:"15,keyasint,omitempty"`
}

// ZoneEvacuated records that an operator ordered the backend servers of an availability
// zone out of use, or back into use, for new flows.
type ZoneEvacuated struct {
	Zone      catkinrail.Zone `cbor:"1,keyasint"`
	Evacuated bool            `cbor:"2,keyasint,omitempty"`
}

// ServicePut creates a service or changes its configuration.
type ServicePut struct {
	ID     catkinrail.ServiceID     `cbor:"1,keyasint"`
	Config catkinrail.ServiceConfig `cbor:"2,keyasint"`
	Seed   uint64                   `cbor:"3,keyasint"`
}

// BucketsSet gives the same value to several buckets of a service.
type BucketsSet struct {
	Service catkinrail.ServiceID `cbor:"1,keyasint"`
	Value   catkinrail.Bucket    `cbor:"2,keyasint"`
	Buckets []uint16             `cbor:"3,keyasint"`
}

// Answer is the result of an operator's request, kept so that a retry of the
// request gets the same answer.
type Answer struct {
	Request string `cbor:"1,keyasint"`
	// Digest is a hash of the command. It detects that an identifier is reused for
	// another command. Zero marks a request that was reported as not run.
	Digest  uint64 `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Detail  string `cbor:"4,keyasint,omitempty"`
}

// ZoneLost records that an operator declared an availability zone lost or restored.
type ZoneLost struct {
	Zone catkinrail.Zone `cbor:"1,keyasint"`
	Lost bool            `cbor:"2,keyasint"`
}

// Change is a set of events that take effect together, at one version.
type Change struct {
	Version uint64  `cbor:"1,keyasint"`
	Events  []Event `cbor:"2,keyasint"`
}
