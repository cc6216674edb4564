package rpc_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/transport/rpc"
)

const callTimeout = 5 * time.Second

// server accepts Hello calls from operators only.
type server struct {
	control.DRPCControlUnimplementedServer
}

func (*server) Hello(ctx context.Context, _ *control.Frame) (*control.Frame, error) {
	return &control.Frame{Body: []byte("hello")}, rpc.RequireRole(ctx, rpc.RoleOperator)
}

func serve(t *testing.T, l net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g, ctx := errgroup.WithContext(ctx)
	mux := drpcmux.New()
	require.NoError(t, control.DRPCRegisterControl(mux, &server{}))
	g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
}

func hello(c *rpc.Client, timeout time.Duration) error {
	return c.Call(context.Background(), "hello", timeout, func(ctx context.Context, conn drpc.Conn) error {
		_, err := control.NewDRPCControlClient(conn).Hello(ctx, &control.Frame{})
		return err
	})
}

// authority is a certificate authority with its files in a temporary directory.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a certificate with the role, and its key, and returns the settings that
// name their files.
func (a *authority) issue(name string, role rpc.Role) rpc.TLSSettings {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}},
		NotBefore:    time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	return rpc.TLSSettings{
		CA:          filepath.Join(a.dir, "ca.pem"),
		Certificate: a.write(name+".pem", "CERTIFICATE", der),
		Key:         a.write(name+"-key.pem", "PRIVATE KEY", pkcs8),
	}
}

func credentials(t *testing.T, s rpc.TLSSettings) *rpc.Credentials {
	t.Helper()
	c, err := rpc.NewCredentials(s)
	require.NoError(t, err)
	return c
}

func TestRoles(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	l, err := rpc.Listen(context.Background(), "127.0.0.1:0", credentials(t, ours.issue("control", rpc.RoleControl)))
	require.NoError(t, err)
	serve(t, l)
	tests := []struct {
		name  string
		creds *rpc.Credentials
		ok    bool
	}{
		{"operator", credentials(t, ours.issue("operator", rpc.RoleOperator)), true},
		{"entry instance", credentials(t, ours.issue("entry", rpc.RoleEntry)), false},
		{"operator of another authority", credentials(t, foreign.issue("operator", rpc.RoleOperator)), false},
		{"no certificate", nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := rpc.NewClient(l.Addr().String(), tt.creds)
			defer c.Close()
			err := hello(c, callTimeout)
			require.Equal(t, tt.ok, err == nil, "%v", err)
			if err != nil {
				require.Equal(t, "hello", catkinrail.StepOf(err))
				require.Equal(t, l.Addr().String(), catkinrail.PeerOf(err))
			}
		})
	}
}

func TestServerWithoutControlRole(t *testing.T) {
	a := newAuthority(t)
	l, err := rpc.Listen(context.Background(), "127.0.0.1:0", credentials(t, a.issue("impostor", rpc.RoleEntry)))
	require.NoError(t, err)
	serve(t, l)
	c := rpc.NewClient(l.Addr().String(), credentials(t, a.issue("operator", rpc.RoleOperator)))
	defer c.Close()
	require.ErrorContains(t, hello(c, callTimeout), "does not have the control role")
}

func TestCertificateReload(t *testing.T) {
	a := newAuthority(t)
	s := a.issue("control", rpc.RoleControl)
	creds := credentials(t, s)
	l, err := rpc.Listen(context.Background(), "127.0.0.1:0", creds)
	require.NoError(t, err)
	serve(t, l)
	operator := credentials(t, a.issue("operator", rpc.RoleOperator))
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.WriteFile(s.Certificate, []byte("broken"), 0o600))
	require.NoError(t, os.Chtimes(s.Certificate, later, later))
	c := rpc.NewClient(l.Addr().String(), operator)
	require.NoError(t, hello(c, callTimeout), "the earlier certificate stays in use")
	require.Error(t, creds.Err())
	c.Close()
	a.issue("control", rpc.RoleControl)
	for _, file := range []string{s.Certificate, s.Key} {
		require.NoError(t, os.Chtimes(file, later.Add(time.Minute), later.Add(time.Minute)))
	}
	c = rpc.NewClient(l.Addr().String(), operator)
	defer c.Close()
	require.NoError(t, hello(c, callTimeout))
	require.NoError(t, creds.Err())
}

func TestInsecureOnLoopbackOnly(t *testing.T) {
	_, err := rpc.Listen(context.Background(), "0.0.0.0:0", nil)
	require.ErrorIs(t, err, rpc.ErrInsecure)
	c := rpc.NewClient("192.0.2.1:7100", nil)
	require.ErrorIs(t, hello(c, callTimeout), rpc.ErrInsecure)
}

// TestSilentConnectionIsReplaced checks that a client replaces a connection that stays
// open but no longer delivers anything, as after a gateway between both ends lost its
// state.
func TestSilentConnectionIsReplaced(t *testing.T) {
	l, err := rpc.Listen(context.Background(), "127.0.0.1:0", nil)
	require.NoError(t, err)
	serve(t, l)
	p := newProxy(t, l.Addr().String())
	c := rpc.NewClient(p.addr(), nil)
	defer c.Close()
	require.NoError(t, hello(c, callTimeout))
	p.blackhole()
	require.Error(t, hello(c, 200*time.Millisecond))
	require.NoError(t, hello(c, callTimeout), "the next call uses a new connection")
}
