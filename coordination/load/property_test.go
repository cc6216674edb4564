package load_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
)

const ms = int64(1e6)

// servers are the tests' backend servers: three in zone "a", of which the second has the
// token of the first, and one in zone "b".
var servers = []load.Server{
	{Key: message.NewServerKey(7, 100), Zone: "a", Service: "s", Slots: 2},
	{Key: message.NewServerKey(7, 200), Zone: "a", Service: "s", Slots: 2},
	{Key: message.NewServerKey(8, 100), Zone: "a", Service: "s", Slots: 2},
	{Key: message.NewServerKey(9, 100), Zone: "b", Service: "s", Slots: 2},
}

// part is what one sender contributes, as the model has it.
type part struct {
	process, sequence uint64
	retired           map[uint64]bool
	at                int64
	live              bool
	loads             map[load.Key]load.Load
	zoneB             int
}

func (p *part) accept(process, sequence uint64, now int64) bool {
	if p.retired[process] || (process == p.process && sequence <= p.sequence) {
		return false
	}
	if p.process != 0 && process != p.process {
		p.retired[p.process] = true
	}
	p.process, p.sequence, p.at, p.live = process, sequence, now, true
	return true
}

// node is a control instance with the model of what it must know.
type node struct {
	name  string
	table *load.Table
	parts map[string]*part
	peers map[string]*part
	// ended holds the servers that have ended, as this control instance knows.
	ended map[load.Key]bool
}

func newNode(name string) *node {
	n := &node{name: name, table: load.NewTable(name, uint64(len(name))+1000), parts: map[string]*part{}, peers: map[string]*part{}, ended: map[load.Key]bool{}}
	for _, s := range servers {
		n.table.SetServer(s)
	}
	return n
}

func partOf(m map[string]*part, name string) *part {
	if m[name] == nil {
		m[name] = &part{retired: map[uint64]bool{}}
	}
	return m[name]
}

func (n *node) expire(now int64) {
	for _, m := range []map[string]*part{n.parts, n.peers} {
		for _, p := range m {
			if p.live && now-p.at > int64(load.Expiry) {
				p.live, p.loads, p.zoneB = false, nil, 0
			}
		}
	}
}

// sums returns the sums over the live senders, without one of them.
func (n *node) sums(except string) map[load.Key]load.Load {
	all := map[load.Key]load.Load{}
	add := func(p *part) {
		for k, l := range p.loads {
			s := all[k]
			s.Pending, s.Flows = s.Pending+l.Pending, s.Flows+l.Flows
			all[k] = s
		}
	}
	for name, p := range n.parts {
		if p.live && name != except {
			add(p)
		}
	}
	for _, p := range n.peers {
		if p.live {
			add(p)
		}
	}
	return all
}

// instance is an entry instance.
type instance struct {
	name    string
	report  message.LoadReport
	view    *load.View
	applied uint64
}

// delivery is a message in transit.
type delivery struct {
	at  int64
	run func(t require.TestingT, now int64)
}

// maxDelay is the longest time for which a message is in transit. Versions of silent
// senders are kept for a minute.
const maxDelay = 30_000 * ms

func rowsOf(list []message.ServerLoad) map[load.Key]load.Load {
	m := map[load.Key]load.Load{}
	for _, l := range list {
		m[l.Server] = load.Load{Pending: l.Pending, Flows: l.Flows}
	}
	return m
}

// network is the state of a run of the property.
type network struct {
	now       int64
	nodes     []*node
	instances []*instance
	transit   []delivery
	processes uint64
}

func (w *network) restart(i *instance) {
	w.processes++
	i.report = message.LoadReport{Name: i.name, Zone: "a", Process: w.processes}
	i.view, i.applied = &load.View{}, 0
}

// send puts a report with random loads in transit to a node.
func (w *network) send(t *rapid.T, i *instance, n *node) {
	r := &i.report
	r.Servers = nil
	for _, s := range servers {
		if f := rapid.IntRange(0, 3).Draw(t, "flows"); f > 0 {
			p := rapid.IntRange(0, f).Draw(t, "pending")
			r.Servers = append(r.Servers, message.ServerLoad{Server: s.Key, Pending: p, Flows: f, Latency: catkinrail.EndedRetention / 1e4})
		}
	}
	r.Sequence++
	r.Known = i.view.Known()
	i.view.RecordSent(r, w.now)
	sent := *r
	sent.Servers = append(message.ServerLoads(nil), r.Servers...)
	view := i.view
	w.transit = append(w.transit, delivery{w.now, func(t require.TestingT, now int64) {
		n.expire(now)
		p := partOf(n.parts, sent.Name)
		if p.accept(sent.Process, sent.Sequence, now) {
			p.loads = rowsOf(sent.Servers)
		}
		reply := n.table.Report(&sent, now)
		if p.live && p.process == sent.Process {
			require.Equal(t, p.sequence, reply.Sequence, "a late report must not replace a newer one")
		}
		others, ended := n.sums(sent.Name), maps.Clone(n.ended)
		w.transit = append(w.transit, delivery{now, func(t require.TestingT, _ int64) {
			if i.view != view {
				return
			}
			applied := view.Apply(reply)
			require.False(t, applied && reply.Sequence <= i.applied, "a late reply must not replace a newer one")
			if !applied {
				return
			}
			i.applied = reply.Sequence
			rows := 0
			for _, s := range servers {
				if s.Zone != "a" || ended[s.Key] {
					continue
				}
				if others[s.Key].Flows > 0 {
					rows++
				}
				got := view.Others(s.Key)
				require.Equal(t, others[s.Key].Pending, got.Pending, "others on %v", s.Key)
				require.Equal(t, others[s.Key].Flows, got.Flows, "others on %v", s.Key)
			}
			require.Equal(t, rows, view.Rows(), "rows of servers that have ended must not stay")
		}})
	}})
}

// share puts a message between two control instances in transit.
func (w *network) share(from, to *node) {
	from.expire(w.now)
	m := from.table.Share(to.name, "a", w.now)
	if m == nil {
		return
	}
	loads := rowsOf(m.Servers)
	w.transit = append(w.transit, delivery{w.now, func(_ require.TestingT, now int64) {
		to.expire(now)
		if p := partOf(to.peers, from.name); p.accept(m.Process, m.Sequence, now) {
			p.loads, p.zoneB = loads, 0
			for _, z := range m.Zones {
				p.zoneB += z.Flows
			}
			for _, a := range m.Arrived {
				q := to.parts[a.Name]
				if q == nil || q.retired[a.Process] || (q.process == a.Process && a.Sequence <= q.sequence) {
					continue
				}
				if q.process == a.Process {
					q.sequence = a.Sequence
				}
				q.live, q.loads = false, nil
			}
		}
		to.table.Merge(m, now)
	}})
}

// check compares the tables' sums with those of the model.
func (w *network) check(t require.TestingT) {
	for _, n := range w.nodes {
		n.expire(w.now)
		n.table.Expire(w.now)
		all := n.sums("")
		flows := map[catkinrail.Zone]int{}
		for k, l := range all {
			for _, s := range servers {
				if s.Key == k && !n.ended[k] {
					flows[s.Zone] += l.Flows
				}
			}
		}
		for _, p := range n.peers {
			flows["b"] += p.zoneB
		}
		for _, z := range n.table.Totals() {
			require.Equal(t, flows[z.Zone], z.Flows, "flows of zone %s at %s", z.Zone, n.name)
		}
	}
}

// TestSumsEqualLatestReports guards against counts that stay for ever, are counted twice or
// come from a message that a newer one had replaced, while messages are lost, late,
// repeated and reordered, entry instances restart and change their control instance.
func TestSumsEqualLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &network{now: 1000 * ms, nodes: []*node{newNode("c1"), newNode("c22")}}
		for i := range 3 {
			w.instances = append(w.instances, &instance{name: fmt.Sprint("e", i)})
			w.restart(w.instances[i])
		}
		pickNode := func(t *rapid.T) *node { return w.nodes[rapid.IntRange(0, 1).Draw(t, "node")] }
		pickInstance := func(t *rapid.T) *instance { return w.instances[rapid.IntRange(0, 2).Draw(t, "instance")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.check(t) },
			"report": func(t *rapid.T) {
				w.send(t, pickInstance(t), pickNode(t))
			},
			"exchange at once": func(t *rapid.T) {
				late := w.transit
				w.transit = nil
				w.send(t, pickInstance(t), pickNode(t))
				for range 2 {
					d := w.transit[0]
					w.transit = w.transit[1:]
					d.run(t, w.now)
				}
				w.transit = late
			},
			"end or start a server": func(t *rapid.T) {
				n, s := pickNode(t), servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")]
				if n.ended[s.Key] = !n.ended[s.Key]; n.ended[s.Key] {
					n.table.RemoveServer(s.Key)
				} else {
					n.table.SetServer(s)
				}
			},
			"share": func(t *rapid.T) {
				n := pickNode(t)
				for _, o := range w.nodes {
					if o != n {
						w.share(n, o)
					}
				}
			},
			"deliver": func(t *rapid.T) {
				if len(w.transit) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(w.transit)-1).Draw(t, "message")
				d := w.transit[i]
				late := w.now-d.at > maxDelay
				if late || !rapid.Bool().Draw(t, "again") {
					w.transit = append(w.transit[:i:i], w.transit[i+1:]...)
				}
				if !late {
					d.run(t, w.now)
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.transit) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(w.transit)-1).Draw(t, "message")
				w.transit = append(w.transit[:i:i], w.transit[i+1:]...)
			},
			"restart": func(t *rapid.T) { w.restart(pickInstance(t)) },
			"leave": func(t *rapid.T) {
				n, i := pickNode(t), pickInstance(t)
				n.table.Remove(i.name)
				if p := n.parts[i.name]; p != nil {
					p.live, p.loads = false, nil
				}
			},
			"wait": func(t *rapid.T) { w.now += int64(rapid.IntRange(1, 700).Draw(t, "ms")) * ms },
		})
		w.now += int64(load.Expiry) + 1
		w.check(t)
		for _, n := range w.nodes {
			for _, z := range n.table.Totals() {
				require.Zero(t, z.Flows+z.Pending, "a count stays although nobody reports")
			}
		}
	})
}
