package udp_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/transport/udp"
)

// A read that times out returns no datagrams, and later reads work as before.
func TestReadTimeout(t *testing.T) {
	conn, err := udp.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer conn.Close()
	sender, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(conn.LocalAddr()))
	require.NoError(t, err)
	defer sender.Close()
	for _, timeout := range []bool{true, false} {
		n, err := conn.ReadTimeout(time.Millisecond)
		require.NoError(t, err)
		require.Zero(t, n)
		_, err = sender.Write([]byte("packet"))
		require.NoError(t, err)
		if timeout {
			n, err = conn.ReadTimeout(10 * time.Second)
		} else {
			n, err = conn.Read()
		}
		require.NoError(t, err)
		require.Equal(t, 1, n)
		b, complete := conn.Datagram(0)
		require.True(t, complete)
		require.Equal(t, "packet", string(b))
	}
}
