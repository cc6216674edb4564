package replay

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/warmup"
)

const (
	// interval is the interval of an instance's requests.
	interval = int64(250 * time.Millisecond)
	// numControls is the number of control instances of the zone.
	numControls = 2
	service     = "logbook"
	// maxGreed is the greatest number of flows that a greedy instance asks for.
	maxGreed = 100
	// viewLag is the greatest age of the voters that a control instance in contact sees.
	viewLag = int64(1500 * time.Millisecond)
)

// Loans is the policy of package warmup: control instances lend flows.
type Loans struct {
	controls [numControls]control
	entries  []loanEntry
	queue    []delivery
	// voters holds the agreed sets of voters, with the time of each.
	voters []voterSet
	cut    int
	bytes  int
}

// voterSet is a set of voters from a time on.
type voterSet struct {
	at    int64
	names []warmup.Voter
}

type control struct {
	lender *warmup.Lender
	name   string
	// synced is the time of its last contact, and view the voters that it saw then.
	synced int64
	view   []warmup.Voter
}

type loanEntry struct {
	allowance *warmup.Allowance
	sequence  uint64
	next      int64
	opened    int
	rate      float64
	sentAt    map[uint64]int64
}

// delivery is a message on its way.
type delivery struct {
	at       int64
	instance int
	process  uint64
	control  int
	request  *message.LoadReport
	// reply is nil for a request.
	reply []message.Loan
}

// NewLoans returns the policy.
func NewLoans(w *World) Policy {
	p := &Loans{entries: make([]loanEntry, w.Instances), cut: -1}
	p.voters = []voterSet{{names: p.all(-1)}}
	for i := range p.controls {
		p.restartControl(w, i)
	}
	for i := range p.entries {
		p.Restart(w, i)
		p.entries[i].next = w.rng.Int64N(interval)
	}
	return p
}

// all returns the voters without the given control instance.
func (p *Loans) all(without int) (list []warmup.Voter) {
	for i := range numControls {
		if i != without {
			list = append(list, warmup.Voter{Name: string(rune('a' + i)), Zone: "z"})
		}
	}
	return list
}

func (p *Loans) restartControl(w *World, i int) {
	p.controls[i] = control{lender: warmup.NewLender(string(rune('a'+i)), w.Tolerance), name: string(rune('a' + i)), synced: w.Now - int64(time.Hour)}
}

// Restart implements Policy.
func (p *Loans) Restart(w *World, instance int) {
	p.entries[instance] = loanEntry{allowance: warmup.NewAllowance(), next: w.Now, sentAt: map[uint64]int64{}}
}

// Bytes implements Policy.
func (p *Loans) Bytes() int { return p.bytes }

// Take implements Policy.
func (p *Loans) Take(w *World, instance, server int) bool {
	e := &p.entries[instance]
	e.opened++
	now := w.Steady(instance)
	e.allowance.CheckClock(now, w.Wall(instance))
	return e.allowance.Take(catkinrail.Token(server+1), 1, now)
}

// Step implements Policy.
func (p *Loans) Step(w *World) {
	p.stepControls(w)
	queue := p.queue
	p.queue = nil
	for _, d := range queue {
		if d.at > w.Now {
			p.queue = append(p.queue, d)
			continue
		}
		p.deliver(w, &d)
	}
	for i := range p.entries {
		if e := &p.entries[i]; w.Running(i) && w.Now >= e.next {
			p.request(w, i)
		}
	}
}

// stepControls applies the faults of control instances.
func (p *Loans) stepControls(w *World) {
	cut := -1
	for _, f := range w.Active(CutControl) {
		cut = f.Target % numControls
	}
	if cut != p.cut {
		// The others remove the one that is cut off, and take it in again.
		p.cut = cut
		p.voters = append(p.voters, voterSet{w.Now, p.all(cut)})
	}
	for _, f := range w.Active(RestartControl) {
		if int64(f.At) > w.Now-step {
			p.restartControl(w, f.Target%numControls)
		}
	}
	servers := make([]warmup.Server, w.Servers)
	for s := range servers {
		servers[s] = warmup.Server{Key: warmup.Key{Token: catkinrail.Token(s + 1), StartedAt: 1}, Service: service, Zone: "z", Rate: w.Rate}
	}
	for i := range p.controls {
		c := &p.controls[i]
		if i != cut {
			c.synced = w.Now
			c.view = p.viewAt(w, i)
		}
		c.lender.SetView(c.view, c.synced, w.Now, w.Now)
		c.lender.SetServers(servers, []catkinrail.Zone{"z"}, w.Now)
	}
}

// viewAt returns the voters that a control instance in contact sees: those of some time
// ago while views differ.
func (p *Loans) viewAt(w *World, i int) []warmup.Voter {
	at := w.Now
	for _, f := range w.Active(SplitView) {
		if (i+f.Target)%2 == 0 {
			at = w.Now - min(int64(f.Strength), viewLag)
		}
	}
	view := p.voters[0].names
	for _, v := range p.voters {
		if v.at <= at {
			view = v.names
		}
	}
	return view
}

// request sends an instance's request.
func (p *Loans) request(w *World, i int) {
	e := &p.entries[i]
	e.next = w.Now + interval
	e.rate += (float64(e.opened) - e.rate) / 4
	e.opened = 0
	e.sequence++
	now := w.Steady(i)
	e.allowance.CheckClock(now, w.Wall(i))
	e.sentAt[e.sequence] = now
	delete(e.sentAt, e.sequence-8)
	r := &message.LoadReport{Zone: "z", Process: w.entries[i].process<<32 + uint64(i) + 1, Sequence: e.sequence, Returned: e.allowance.Return(now)}
	if n := int(e.rate + 0.999); n > 0 || w.Greedy {
		r.Wants = map[string]int{service: n}
		if w.Greedy {
			r.Wants[service] = 1 + w.rng.IntN(maxGreed)
		}
	}
	p.bytes += size(map[int]any{7: r.Wants, 8: r.Returned})
	target := 0
	if len(w.Active(CutControl))+len(w.Active(SplitView)) > 0 || w.Greedy {
		target = w.rng.IntN(numControls)
	}
	p.send(w, delivery{instance: i, process: w.entries[i].process, control: target, request: r})
}

// send puts a message on its way.
func (p *Loans) send(w *World, d delivery) {
	d.at = w.Now + w.rng.Int64N(int64(w.Calm)+1)
	for _, f := range w.Active(DelayMessages) {
		d.at += w.rng.Int64N(int64(f.Strength) + 1)
	}
	for _, f := range w.Active(HoldReplies) {
		if d.reply != nil && d.instance%2 == f.Target%2 {
			d.at = max(d.at, int64(f.At+f.For))
		}
	}
	if len(w.Active(LoseMessages)) > 0 && w.rng.IntN(2) == 0 {
		return
	}
	p.queue = append(p.queue, d)
	if f := w.Active(RepeatMessages); len(f) > 0 {
		d.at += w.rng.Int64N(int64(f[0].Strength) + 1)
		p.queue = append(p.queue, d)
	}
}

// deliver delivers a message.
func (p *Loans) deliver(w *World, d *delivery) {
	if d.reply == nil {
		loans := p.controls[d.control].lender.Lend(d.request, w.Now)
		if len(loans) > 0 {
			p.bytes += size(map[int]any{6: loans})
			d.reply = loans
			p.send(w, *d)
		}
		return
	}
	if w.entries[d.instance].process != d.process {
		return
	}
	if !w.Running(d.instance) {
		d.at = w.entries[d.instance].suspendedUntil
		p.queue = append(p.queue, *d)
		return
	}
	e := &p.entries[d.instance]
	if sentAt, ok := e.sentAt[d.request.Sequence]; ok {
		e.allowance.CheckClock(w.Steady(d.instance), w.Wall(d.instance))
		e.allowance.Apply(d.request.Sequence, sentAt, d.reply, w.Steady(d.instance))
	}
}

// size returns the number of bytes of a value on the wire.
func size(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}
