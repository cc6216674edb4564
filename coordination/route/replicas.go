package route

import (
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/relay"
)

// NumReplicas is the number of instances that hold each record. With three, records
// survive the loss of a second instance before the copies that replace the first one
// are complete.
const NumReplicas = 3

// replicas are the instances that hold the records of a bucket.
type replicas struct {
	// head is the instance that decides for the bucket.
	head catkinrail.InstanceID
	// chain lists all replicas, in the order in which an opening packet visits them.
	chain  [relay.MaxChain]catkinrail.InstanceID
	length uint8
	// baseLength is the number of replicas, at the front of the chain, that belong to
	// the settled view and hold all records.
	baseLength uint8
}

func (r *replicas) members() []catkinrail.InstanceID {
	return r.chain[:r.length]
}

func (r *replicas) holds(id catkinrail.InstanceID) bool {
	return slices.Contains(r.members(), id)
}

// member is an instance of a view, as a candidate replica.
type member struct {
	id   catkinrail.InstanceID
	zone catkinrail.Zone
	// hash is a hash of the identifier. It is combined with each bucket's hash.
	hash uint64
}

func newMember(id catkinrail.InstanceID, zone catkinrail.Zone) member {
	return member{id: id, zone: zone, hash: mix(uint64(id) * 0x9e3779b97f4a7c15)}
}

// mix spreads the bits of x (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rank returns up to n members for a bucket by rendezvous hashing. It takes members
// of zones that aren't represented yet before it takes a second one of a zone.
func rank(members []member, bucket uint64, n int, out []member) []member {
	out = out[:0]
	for len(out) < n {
		best, bestScore, found := member{}, uint64(0), false
		for _, newZoneOnly := range []bool{true, false} {
			for _, m := range members {
				if contains(out, m.id) || (newZoneOnly && hasZone(out, m.zone)) {
					continue
				}
				if score := mix(m.hash ^ bucket); !found || score > bestScore {
					best, bestScore, found = m, score, true
				}
			}
			if found {
				break
			}
		}
		if !found {
			break
		}
		out = append(out, best)
	}
	return out
}

func contains(list []member, id catkinrail.InstanceID) bool {
	return slices.ContainsFunc(list, func(m member) bool { return m.id == id })
}

func hasZone(list []member, zone catkinrail.Zone) bool {
	return slices.ContainsFunc(list, func(m member) bool { return m.zone == zone })
}

// bucketHash returns the hash by which members are ranked for a bucket.
func bucketHash(service catkinrail.ServiceID, n int) uint64 {
	return mix(uint64(service)<<32 | uint64(n))
}

// replicaChooser chooses the replicas of buckets under one view.
type replicaChooser struct {
	phase        catkinrail.Phase
	base, target []member
	dead         []catkinrail.InstanceID
	copies       int
	scratch      [2][]member
}

func newReplicaChooser(v *catkinrail.View, copies int) *replicaChooser {
	r := &replicaChooser{phase: v.Phase, dead: v.Dead, copies: copies}
	for _, id := range v.Base {
		r.base = append(r.base, newMember(id, v.Zones[id]))
	}
	for _, id := range v.Target {
		r.target = append(r.target, newMember(id, v.Zones[id]))
	}
	return r
}

// choose returns the replicas of the bucket with the given hash.
//
// The chain starts with the remaining replicas of the settled view, which hold all
// records. While the view changes, the replicas of the next view follow, so that
// every new record reaches both.
func (r *replicaChooser) choose(hash uint64) *replicas {
	out := &replicas{}
	r.scratch[0] = rank(r.base, hash, r.copies, r.scratch[0])
	for _, m := range r.scratch[0] {
		if !slices.Contains(r.dead, m.id) {
			out.add(m.id)
		}
	}
	out.baseLength = out.length
	if out.length > 0 {
		out.head = out.chain[0]
	}
	if r.phase == catkinrail.Settled {
		return out
	}
	r.scratch[1] = rank(r.target, hash, r.copies, r.scratch[1])
	for _, m := range r.scratch[1] {
		if !out.holds(m.id) {
			out.add(m.id)
		}
	}
	if len(r.scratch[1]) > 0 && (r.phase == catkinrail.Open || out.baseLength == 0) {
		out.head = r.scratch[1][0].id
	}
	return out
}

func (r *replicas) add(id catkinrail.InstanceID) {
	if int(r.length) < len(r.chain) {
		r.chain[r.length] = id
		r.length++
	}
}
