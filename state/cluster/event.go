// Package cluster keeps the state that control instances agree on and entry
// instances follow: services with their bucket tables, backend servers, entry
// instances and the replica view.
package cluster

import "catkinrail.example/catkinrail"

// Event is one change of the state. Exactly one field is set.
//
// Events carry results, not inputs: two releases of the program that disagree
// about how to compute a table still hold the same one.
type Event struct {
	ServicePut     *ServicePut          `cbor:"1,keyasint,omitempty"`
	ServiceDeleted catkinrail.ServiceID `cbor:"2,keyasint,omitempty"`
	BackendPut     *catkinrail.Backend  `cbor:"3,keyasint,omitempty"`
	BackendRemoved catkinrail.BackendID `cbor:"4,keyasint,omitempty"`
	BucketsSet     *BucketsSet          `cbor:"5,keyasint,omitempty"`
	InstancePut    *catkinrail.Instance `cbor:"6,keyasint,omitempty"`
	// InstanceRemoved names an entry instance that left or was lost.
	InstanceRemoved catkinrail.InstanceID `cbor:"7,keyasint,omitempty"`
	ViewSet         *catkinrail.View      `cbor:"8,keyasint,omitempty"`
	MovePut         *catkinrail.Move      `cbor:"9,keyasint,omitempty"`
	MoveRemoved     uint64                `cbor:"10,keyasint,omitempty"`
	Answer          *Answer               `cbor:"11,keyasint,omitempty"`
	ZoneLost        *ZoneLost             `cbor:"12,keyasint,omitempty"`
	// Released names an endpoint whose quarantine has ended.
	Released string `cbor:"13,keyasint,omitempty"`
	// DocumentPut replaces the operators' document.
	DocumentPut *catkinrail.Document `cbor:"14,keyasint,omitempty"`
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

// Answer is the result of an operator's request, kept so that a request that
// is sent again gets the first answer.
type Answer struct {
	Request string `cbor:"1,keyasint"`
	// Digest is a hash of the command, so that one identifier can't stand for
	// two commands.
	Digest  uint64 `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Detail  string `cbor:"4,keyasint,omitempty"`
}

// ZoneLost records that an operator declared an availability zone lost, or
// took that back.
type ZoneLost struct {
	Zone catkinrail.Zone `cbor:"1,keyasint"`
	Lost bool            `cbor:"2,keyasint"`
}

// Change is a set of events that take effect together, at one version.
type Change struct {
	Version uint64  `cbor:"1,keyasint"`
	Events  []Event `cbor:"2,keyasint"`
}
