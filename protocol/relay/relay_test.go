package relay_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/relay"
)

func testKey(t require.TestingT, first byte) relay.Key {
	b := make([]byte, relay.KeySize)
	b[0] = first
	k, err := relay.NewKey(b)
	require.NoError(t, err)
	return k
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := relay.Message{
			Kind: relay.Store, Hops: rapid.Byte().Draw(t, "hops"), Flags: rapid.Byte().Draw(t, "flags"),
			Sender: catkinrail.InstanceID(rapid.Uint32().Draw(t, "sender")), Version: rapid.Uint64().Draw(t, "version"),
			View: rapid.Uint64().Draw(t, "view"), Slot: catkinrail.SlotID(rapid.Uint32().Draw(t, "slot")),
			Epoch: rapid.Uint64().Draw(t, "epoch"), Seq: rapid.Uint32().Draw(t, "seq"), ChainLength: 3, ChainIndex: 1,
		}
		for i := range m.ChainLength {
			m.Chain[i] = catkinrail.InstanceID(rapid.Uint32().Draw(t, "chain"))
		}
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		k := testKey(t, 1)
		b := k.Append(nil, &m, payload)
		var got relay.Message
		rest, err := k.Parse(b, &got)
		require.NoError(t, err)
		require.Equal(t, m, got)
		require.Equal(t, string(payload), string(rest))
		b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= 1
		_, err = k.Parse(b, &got)
		require.ErrorIs(t, err, relay.ErrTag)
	})
}

func TestParseRefuses(t *testing.T) {
	k := testKey(t, 1)
	tests := []struct {
		name string
		b    []byte
		want error
	}{
		{"empty", nil, relay.ErrTruncated},
		{"another key", testKey(t, 2).Append(nil, &relay.Message{Kind: relay.Lookup}, nil), relay.ErrTag},
		{"unknown kind", k.Append(nil, &relay.Message{Kind: 99}, nil), relay.ErrKind},
		{"long chain", k.Append(nil, &relay.Message{Kind: relay.Store, ChainLength: 7}, nil), relay.ErrChain},
		{"beyond the chain", k.Append(nil, &relay.Message{Kind: relay.Store, ChainLength: 2, ChainIndex: 3}, nil), relay.ErrChain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m relay.Message
			_, err := k.Parse(tt.b, &m)
			require.ErrorIs(t, err, tt.want)
		})
	}
}

func TestRecords(t *testing.T) {
	now := int64(1e15)
	r := catkinrail.Record{Slot: 5, Epoch: 7, Established: true, Closing: true, Seen: now - 2e9}
	r.Key.SrcPort, r.Key.Proto = 99, catkinrail.ProtoTCP
	b := relay.AppendRecord(nil, &r, now)
	list, err := relay.ParseRecords(b, now)
	require.NoError(t, err)
	require.Equal(t, []catkinrail.Record{r}, list)
	_, err = relay.ParseRecords(b[1:], now)
	require.ErrorIs(t, err, relay.ErrTruncated)
}

func FuzzParse(f *testing.F) {
	k := testKey(f, 1)
	f.Add(k.Append(nil, &relay.Message{Kind: relay.Lookup}, []byte("packet")), int64(0))
	f.Add(k.Append(nil, &relay.Message{Kind: relay.Copy}, relay.AppendRecord(nil, &catkinrail.Record{}, 0)), int64(9))
	f.Fuzz(func(t *testing.T, b []byte, now int64) {
		var m relay.Message
		payload, err := k.Parse(b, &m)
		if err == nil {
			require.LessOrEqual(t, m.ChainIndex, m.ChainLength)
			_, _ = relay.ParseRecords(payload, now)
		}
		_, _ = relay.ParseRecords(b, now)
	})
}
