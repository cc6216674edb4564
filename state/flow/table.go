// Package flow keeps the records of flows whose slot may differ from the default
// slot of their bucket.
package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"catkinrail.example/catkinrail"
)

// Times after which records expire, may be evicted or are copied again.
const (
	// HalfOpenAge is how long a record is kept after an opening packet that no
	// later packet followed. It outlasts every retransmission of a SYN (127 s).
	HalfOpenAge = 130 * time.Second
	// ClosingAge is how long a record is kept after the last packet of a closing
	// flow, unless the idle timeout is shorter. A caller may send its FIN early and
	// go on reading for long.
	ClosingAge = 5 * time.Minute
	// MinRefreshInterval is the minimum time before a record is copied again to
	// the other replicas, which don't see the flow's packets.
	MinRefreshInterval = 30 * time.Second
	// evictAge is the age above which half-open records may be evicted to make
	// room for others.
	evictAge = time.Second
	// evictInterval is the minimum time between two evictions in one bucket.
	evictInterval = 100 * time.Millisecond
	// unneededRetention is how long a bucket's records are kept although the
	// cluster state doesn't need them here. They may belong to a state version
	// that this instance hasn't received yet. The instance lags behind by less than
	// the duration of a lease, or it would hold no lease.
	unneededRetention = 15 * time.Second
	// refreshDivisor divides the idle timeout to give the interval at which records
	// of active flows are copied again.
	refreshDivisor = 4
)

// numShards is the number of independently locked parts of a table.
const numShards = 64

// Bucket identifies a bucket of a service.
type Bucket struct {
	Service catkinrail.ServiceID
	Number  uint32
}

// Table holds flow records by bucket. It is safe for concurrent use.
type Table struct {
	shards [numShards]shard
	total  atomic.Int64
	loads  loads
}

type shard struct {
	mu      sync.Mutex
	buckets map[Bucket]*recordSet
}

// recordSet holds the records of one bucket. Its times are in nanoseconds of the
// clock.
type recordSet struct {
	records map[catkinrail.FlowKey]entry
	// untrackedAt is the time at which a half-open record was last removed or a new
	// record last had no room.
	untrackedAt int64
	// evictedAt is the time of the last eviction.
	evictedAt int64
	// storedAt is the time at which a record was last stored.
	storedAt int64
}

type entry struct {
	catkinrail.Record
	// refreshedAt is the time at which the record was stored or last copied to
	// the other replicas, in nanoseconds of the clock.
	refreshedAt int64
}

// loads counts records by slot.
type loads struct {
	mu     sync.RWMutex
	counts map[catkinrail.SlotID]*atomic.Int64
}

func (l *loads) counter(slot catkinrail.SlotID) *atomic.Int64 {
	l.mu.RLock()
	n := l.counts[slot]
	l.mu.RUnlock()
	if n != nil {
		return n
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[slot] == nil {
		l.counts[slot] = &atomic.Int64{}
	}
	return l.counts[slot]
}

// New returns an empty table.
func New() *Table {
	t := &Table{loads: loads{counts: map[catkinrail.SlotID]*atomic.Int64{}}}
	for i := range t.shards {
		t.shards[i].buckets = map[Bucket]*recordSet{}
	}
	return t
}

// Len returns the number of records in the table.
func (t *Table) Len() int {
	return int(t.total.Load())
}

// Load returns the number of records whose flows are on the slot.
func (t *Table) Load(slot catkinrail.SlotID) int64 {
	return t.loads.counter(slot).Load()
}

func (t *Table) shard(b Bucket) *shard {
	return &t.shards[(uint32(b.Service)*31+b.Number)%numShards]
}

// PacketInfo holds what Touch needs to know about a packet.
type PacketInfo struct {
	// Now is the time of the packet, in nanoseconds of the clock.
	Now int64
	// Opening is set if the packet may open the flow.
	Opening bool
	// Closing is set if the packet ends one direction of the flow or resets it.
	Closing bool
}

// Touch updates the record of a flow with a packet and returns it. The second
// result reports whether the packet established the flow, the third whether the
// flow has a record.
func (t *Table) Touch(b Bucket, key *catkinrail.FlowKey, s PacketInfo) (rec catkinrail.Record, established, ok bool) {
	sh := t.shard(b)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	set := sh.buckets[b]
	if set == nil {
		return rec, false, false
	}
	e, ok := set.records[*key]
	if !ok {
		return rec, false, false
	}
	e.Seen = s.Now
	e.Closing = (e.Closing && !s.Opening) || s.Closing
	established = !s.Opening && !e.Established
	e.Established = e.Established || established
	set.records[*key] = e
	return e.Record, established, true
}

// Insert stores a record. If the flow already has one, the slot with the lower
// epoch is kept. If the bucket already has limit records, it evicts old half-open
// ones. It returns the record that is in the table, or false if there was no room.
func (t *Table) Insert(b Bucket, r *catkinrail.Record, limit int) (catkinrail.Record, bool) {
	sh := t.shard(b)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.buckets[b]
	if s == nil {
		s = &recordSet{records: map[catkinrail.FlowKey]entry{}}
		sh.buckets[b] = s
	}
	s.storedAt = max(s.storedAt, r.Seen)
	if old, ok := s.records[r.Key]; ok {
		return t.merge(s, old, r), true
	}
	if len(s.records) >= limit && !t.evict(s, r.Seen) {
		s.untrackedAt = r.Seen
		return *r, false
	}
	s.records[r.Key] = entry{Record: *r, refreshedAt: r.Seen}
	t.total.Add(1)
	t.loads.counter(r.Slot).Add(1)
	return *r, true
}

// MarkStored sets the time at which the bucket last received records. Records copied
// from another replica need it, because they keep the time of the flow's last packet.
func (t *Table) MarkStored(b Bucket, now int64) {
	sh := t.shard(b)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.buckets[b]; s != nil {
		s.storedAt = max(s.storedAt, now)
	}
}

// merge combines a new record with the old one of the same flow.
func (t *Table) merge(s *recordSet, old entry, r *catkinrail.Record) catkinrail.Record {
	if r.Epoch < old.Epoch && r.Slot != old.Slot {
		t.loads.counter(old.Slot).Add(-1)
		t.loads.counter(r.Slot).Add(1)
		old.Slot, old.Epoch = r.Slot, r.Epoch
	}
	old.Established = old.Established || r.Established
	old.Closing = old.Closing || r.Closing
	old.Seen = max(old.Seen, r.Seen)
	s.records[r.Key] = old
	return old.Record
}

// evict removes the half-open records that are older than evictAge. It reports
// whether it removed any, and does nothing within evictInterval of the last time.
func (t *Table) evict(s *recordSet, now int64) bool {
	if now-s.evictedAt < int64(evictInterval) {
		return false
	}
	s.evictedAt = now
	return t.removeIf(s, now, func(e *entry) bool {
		return !e.Established && now-e.Seen > int64(evictAge)
	})
}

func (t *Table) removeIf(s *recordSet, now int64, drop func(*entry) bool) bool {
	dropped := false
	for k, e := range s.records {
		if !drop(&e) {
			continue
		}
		if !e.Established {
			s.untrackedAt = now
		}
		t.remove(s, k, e.Slot)
		dropped = true
	}
	return dropped
}

func (t *Table) remove(s *recordSet, k catkinrail.FlowKey, slot catkinrail.SlotID) {
	delete(s.records, k)
	t.total.Add(-1)
	t.loads.counter(slot).Add(-1)
}

// LastUntracked returns the time at which the bucket last removed a half-open
// record or had no room for a new one, or zero. An opening packet passed on before
// that time may have no record.
func (t *Table) LastUntracked(b Bucket) int64 {
	sh := t.shard(b)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.buckets[b]; s != nil {
		return s.untrackedAt
	}
	return 0
}

// Records returns a copy of the bucket's records.
func (t *Table) Records(b Bucket) []catkinrail.Record {
	sh := t.shard(b)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.buckets[b]
	if s == nil {
		return nil
	}
	list := make([]catkinrail.Record, 0, len(s.records))
	for _, e := range s.records {
		list = append(list, e.Record)
	}
	return list
}

// HasOtherSlot reports whether any record of the bucket has a slot other than the
// given one.
func (t *Table) HasOtherSlot(b Bucket, slot catkinrail.SlotID) bool {
	sh := t.shard(b)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.buckets[b]; s != nil {
		for _, e := range s.records {
			if e.Slot != slot {
				return true
			}
		}
	}
	return false
}

// Policy controls what Sweep does with a bucket's records.
type Policy struct {
	// Keep is false if the bucket's records are no longer needed here.
	Keep bool
	// Idle is the idle timeout, after which the record of an established flow
	// expires.
	Idle time.Duration
	// Refresh is set if this instance copies the records to other replicas.
	Refresh bool
	// Gone, if set, reports whether the slot's flows are lost.
	Gone func(catkinrail.SlotID) bool
}

// Sweep expires records in one shard, turn modulo Shards. It calls refresh for each
// record that is due to be copied to the other replicas again.
func (t *Table) Sweep(turn int, now int64, policy func(Bucket) Policy, refresh func(Bucket, *catkinrail.Record)) {
	sh := &t.shards[turn%numShards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for b, s := range sh.buckets {
		p := policy(b)
		if !p.Keep && now-s.storedAt < int64(unneededRetention) {
			continue
		}
		if !p.Keep {
			t.removeIf(s, now, func(*entry) bool { return true })
			delete(sh.buckets, b)
			continue
		}
		t.removeIf(s, now, func(e *entry) bool { return expired(e, now, &p) })
		if p.Refresh {
			refreshRecords(b, s, now, p.Idle, refresh)
		}
		if len(s.records) == 0 && now-s.untrackedAt > int64(HalfOpenAge) {
			delete(sh.buckets, b)
		}
	}
}

func expired(e *entry, now int64, p *Policy) bool {
	age := time.Duration(now - e.Seen)
	switch {
	case p.Gone != nil && p.Gone(e.Slot):
		return true
	case !e.Established:
		return age > HalfOpenAge
	case e.Closing:
		return age > min(ClosingAge, p.Idle)
	}
	return age > p.Idle
}

func refreshRecords(b Bucket, s *recordSet, now int64, idle time.Duration, refresh func(Bucket, *catkinrail.Record)) {
	gap := int64(max(idle/refreshDivisor, MinRefreshInterval))
	for k, e := range s.records {
		if !e.Established || e.Seen <= e.refreshedAt || now-e.refreshedAt < gap {
			continue
		}
		e.refreshedAt = now
		s.records[k] = e
		refresh(b, &e.Record)
	}
}

// Shards is the number of consecutive turns in which Sweep visits the whole table.
const Shards = numShards
