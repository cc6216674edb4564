package route_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/cluster"
)

const (
	second = int64(time.Second)
	first  = catkinrail.SlotID(1 << 4)
	other  = catkinrail.SlotID(2 << 4)
)

var serviceAddr = netip.MustParseAddrPort("192.0.2.1:443")

// newEngine returns the engine of instance 1 in a view of three instances. It has a
// lease, two backend servers, and the given value in every bucket.
func newEngine(t *testing.T, balance catkinrail.Balance, value catkinrail.Bucket) *route.Engine {
	t.Helper()
	cfg := catkinrail.ServiceConfig{Name: logbook, Addr: serviceAddr, Balance: balance, Buckets: 64}
	cfg.SetDefaults()
	view := &catkinrail.View{Version: 1, Zones: map[catkinrail.InstanceID]catkinrail.Zone{}}
	events := []cluster.Event{{ServicePut: &cluster.ServicePut{ID: 1, Config: cfg}}}
	for id := catkinrail.InstanceID(1); id <= 3; id++ {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 7300+uint16(id))
		events = append(events, cluster.Event{InstancePut: &catkinrail.Instance{ID: id, Zone: zones[id], Relay: addr}})
		view.Base = append(view.Base, id)
		view.Zones[id] = zones[id]
	}
	for id := catkinrail.BackendID(1); id <= 2; id++ {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 6080+uint16(id))
		events = append(events, cluster.Event{BackendPut: &catkinrail.Backend{ID: id, Service: 1, Zone: zones[id], Slots: []netip.AddrPort{addr}, Weight: 100}})
	}
	events = append(events, cluster.Event{ViewSet: view})
	for n := range uint16(64) {
		events = append(events, cluster.Event{BucketsSet: &cluster.BucketsSet{Service: 1, Value: value, Buckets: []uint16{n}}})
	}
	e := route.New(route.Config{Zone: zones[1]})
	e.SetSelf(1)
	require.NoError(t, e.Update([]cluster.Change{{Version: 1, Events: events}}, second))
	e.SetLease(100 * second)
	return e
}

// header returns the header of a packet of the n-th flow.
func header(n uint16, flags uint8) *ip.Header {
	return &ip.Header{Flags: flags, Key: catkinrail.FlowKey{
		Src: netip.MustParseAddr("10.0.0.1").As16(), Dst: serviceAddr.Addr().As16(),
		SrcPort: n, DstPort: serviceAddr.Port(), Proto: catkinrail.ProtoTCP,
	}}
}

// TestStore checks what a replica does with a packet that carries a record.
func TestStore(t *testing.T) {
	open := catkinrail.Bucket{Cur: first, Next: other, Phase: catkinrail.Open}
	tests := []struct {
		name   string
		m      relay.Message
		action route.Action
		reason route.Reason
		slot   catkinrail.SlotID
	}{
		{
			"last replica of the chain forwards the packet",
			relay.Message{Kind: relay.Store, Slot: other, Epoch: 1, Version: 1, Chain: [6]catkinrail.InstanceID{2, 1}, ChainLength: 2, ChainIndex: 1},
			route.Forward, route.ReasonNone, other,
		},
		{
			"an instance that has left is skipped",
			relay.Message{Kind: relay.Store, Slot: other, Epoch: 1, Version: 1, Chain: [6]catkinrail.InstanceID{1, 9}, ChainLength: 2, ChainIndex: 0},
			route.Forward, route.ReasonNone, other,
		},
		{
			"an instance that has joined is not skipped",
			relay.Message{Kind: relay.Store, Slot: other, Epoch: 1, Version: 2, Chain: [6]catkinrail.InstanceID{1, 9}, ChainLength: 2, ChainIndex: 0},
			route.Drop, route.ReasonNoPeer, 0,
		},
		{
			"addressed to another instance",
			relay.Message{Kind: relay.Store, Slot: other, Epoch: 1, Version: 1, Chain: [6]catkinrail.InstanceID{2, 3}, ChainLength: 2, ChainIndex: 0},
			route.Drop, route.ReasonNoPeer, 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(t, catkinrail.BalanceHashed, open)
			v := e.HandleRelayed(&tt.m, header(1, ip.FlagSYN), 2*second)
			require.Equal(t, tt.action, v.Action)
			require.Equal(t, tt.reason.String(), v.Reason.String())
			require.Equal(t, tt.slot, v.Slot)
		})
	}
}

// TestStoreKeepsTheEarlierRecord checks that a flow stays where it was first placed,
// even if another record for it arrives later.
func TestStoreKeepsTheEarlierRecord(t *testing.T) {
	e := newEngine(t, catkinrail.BalanceHashed, catkinrail.Bucket{Cur: first, Next: other, Phase: catkinrail.Open})
	store := func(slot catkinrail.SlotID, epoch uint64) route.Verdict {
		m := relay.Message{Kind: relay.Store, Sender: 2, Slot: slot, Epoch: epoch, Version: 1, Chain: [6]catkinrail.InstanceID{1}, ChainLength: 1}
		return e.HandleRelayed(&m, header(1, ip.FlagSYN), 2*second)
	}
	require.Equal(t, other, store(other, 5).Slot)
	require.Equal(t, other, store(first, 8).Slot)
	sends := e.Tick(2 * second)
	require.NotEmpty(t, sends, "a copy of the earlier record for the sender")
	require.Equal(t, catkinrail.InstanceID(2), sends[0].To)
}

func TestLease(t *testing.T) {
	tests := []struct {
		name   string
		now    int64
		action route.Action
	}{
		{"within the lease", 99 * second, route.Forward},
		{"at its end", 100 * second, route.Drop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(t, catkinrail.BalanceHashed, catkinrail.Bucket{Cur: first})
			e.SetLease(50 * second)
			require.Equal(t, tt.action, e.HandlePacket(header(1, ip.FlagACK), tt.now).Action, "an earlier end doesn't shorten the lease")
		})
	}
}

// TestRefusal checks that an instance refuses flows only after it has tracked opening
// packets for longer than a caller repeats them.
func TestRefusal(t *testing.T) {
	draining := []cluster.Event{}
	for id := catkinrail.BackendID(1); id <= 2; id++ {
		draining = append(draining, cluster.Event{BackendPut: &catkinrail.Backend{
			ID: id, Service: 1, Zone: zones[id], Slots: []netip.AddrPort{serviceAddr}, Weight: 100, State: catkinrail.BackendDraining,
		}})
	}
	for _, tt := range []struct {
		name   string
		now    int64
		action route.Action
	}{
		{"view is too recent", 100 * second, route.Drop},
		{"view is older than any repeated packet", 140 * second, route.Refuse},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(t, catkinrail.BalanceTracked, catkinrail.Bucket{})
			require.NoError(t, e.Update([]cluster.Change{{Version: 2, Events: draining}}, 2*second))
			e.SetLease(1000 * second)
			refused := false
			for n := range uint16(200) {
				v := e.HandlePacket(header(n, ip.FlagSYN), tt.now)
				refused = refused || v.Action == route.Refuse
				require.NotEqual(t, route.Forward, v.Action)
			}
			require.Equal(t, tt.action == route.Refuse, refused)
		})
	}
}

// TestOpeningBeforeFirstView opens a flow before the first view names replicas, as in
// the first second of a new cluster.
func TestOpeningBeforeFirstView(t *testing.T) {
	tests := []struct {
		name    string
		balance catkinrail.Balance
		flags   uint8
		action  route.Action
	}{
		{"tracked, opening", catkinrail.BalanceTracked, ip.FlagSYN, route.Drop},
		{"hashed, opening", catkinrail.BalanceHashed, ip.FlagSYN, route.Drop},
		{"hashed, later packet", catkinrail.BalanceHashed, ip.FlagACK, route.Forward},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(t, tt.balance, catkinrail.Bucket{Cur: first, Next: other, Phase: catkinrail.Open})
			none := cluster.Event{ViewSet: &catkinrail.View{Version: 2}}
			require.NoError(t, e.Update([]cluster.Change{{Version: 2, Events: []cluster.Event{none}}}, 2*second))
			require.Equal(t, tt.action, e.HandlePacket(header(1, tt.flags), 3*second).Action)
			require.Zero(t, e.Records())
		})
	}
}
