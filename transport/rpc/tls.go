// Package rpc carries the calls between processes over TCP, with TLS and deadlines. It
// replaces connections on which calls time out.
package rpc

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcctx"

	"catkinrail.example/catkinrail"
)

// Role determines which calls the holder of a certificate may make or serve. It is one
// of the certificate's organizational units.
type Role string

// Roles of control instances, entry instances and operators.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleOperator Role = "operator"
)

// TLSSettings holds the file names of a process's key and certificates.
type TLSSettings struct {
	// CA is the file of the certificate authorities that all processes trust.
	CA          string `yaml:"ca"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Insecure turns TLS off. Only loopback addresses are allowed then.
	Insecure bool `yaml:"insecure"`
	// TrustedNetwork turns TLS off for all addresses. The network itself must keep
	// out other hosts then.
	TrustedNetwork bool `yaml:"trusted-network"`
}

// Validate implements settings.Section.
func (s *TLSSettings) Validate() []catkinrail.FieldError {
	if s.Insecure || s.TrustedNetwork {
		return nil
	}
	var errs []catkinrail.FieldError
	for _, f := range []struct{ field, file string }{
		{"ca", s.CA}, {"certificate", s.Certificate}, {"key", s.Key},
	} {
		if f.file == "" {
			errs = append(errs, catkinrail.FieldError{Field: f.field, Reason: "is missing; set insecure for a trial on loopback"})
			continue
		}
		if _, err := os.Stat(f.file); err != nil {
			errs = append(errs, catkinrail.FieldError{Field: f.field, Reason: err.Error()})
		}
	}
	return errs
}

// Credentials holds a process's key and certificates and reloads them when their files
// change. Nil credentials stand for TLSSettings.Insecure.
type Credentials struct {
	settings TLSSettings

	mu        sync.Mutex
	modTime   time.Time
	cert      *tls.Certificate
	roots     *x509.CertPool
	reloadErr error
}

// NewCredentials loads the files that the settings name. It returns nil credentials if
// Insecure is set, and loads no files if TrustedNetwork is.
func NewCredentials(s TLSSettings) (*Credentials, error) {
	if s.Insecure {
		return nil, nil
	}
	c := &Credentials{settings: s}
	if s.TrustedNetwork {
		return c, nil
	}
	_, _, err := c.load()
	return c, err
}

// plaintext reports whether connections are made without TLS.
func (c *Credentials) plaintext() bool {
	return c == nil || c.settings.TrustedNetwork
}

// load returns the current certificate and the trusted roots. It reloads them first
// if their files have changed. If that fails, the earlier ones stay in use.
func (c *Credentials) load() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	modTime := c.latestModTime()
	if c.cert != nil && !modTime.After(c.modTime) {
		return c.cert, c.roots, nil
	}
	cert, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return c.keepCurrent(err)
	}
	pem, err := os.ReadFile(c.settings.CA)
	if err != nil {
		return c.keepCurrent(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return c.keepCurrent(fmt.Errorf("%s holds no certificate", c.settings.CA))
	}
	c.cert, c.roots, c.modTime, c.reloadErr = &cert, roots, modTime, nil
	return c.cert, c.roots, nil
}

func (c *Credentials) keepCurrent(err error) (*tls.Certificate, *x509.CertPool, error) {
	c.reloadErr = err
	if c.cert == nil {
		return nil, nil, catkinrail.At(err, "load certificate", "")
	}
	return c.cert, c.roots, nil
}

// Err returns why the last reload failed, or nil if it succeeded.
func (c *Credentials) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reloadErr
}

func (c *Credentials) latestModTime() time.Time {
	var latest time.Time
	for _, file := range []string{c.settings.CA, c.settings.Certificate, c.settings.Key} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// serverConfig returns the configuration of a listener, which requires a client
// certificate from one of the trusted authorities.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots, err := c.load()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// clientConfig returns the configuration of a connection to a control instance. The
// peer is verified by the role in its certificate instead of a host name.
func (c *Credentials) clientConfig() (*tls.Config, error) {
	cert, roots, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      roots,
		// VerifyConnection checks the chain and the role; host names are not used.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, roots)
		},
	}, nil
}

func verifyPeer(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	if err != nil {
		return err
	}
	if !slices.Contains(leaf.Subject.OrganizationalUnit, string(RoleControl)) {
		return errors.New("peer's certificate does not have the control role")
	}
	return nil
}

// ErrRole reports a call that the client's certificate doesn't allow.
var ErrRole = errors.New("certificate does not allow this call")

// RequireRole returns ErrRole unless the client's certificate has one of the roles.
// Without TLS, on loopback or a trusted network, every client has every role.
func RequireRole(ctx context.Context, roles ...Role) error {
	tr, ok := drpcctx.Transport(ctx)
	if !ok {
		return ErrRole
	}
	conn, ok := tr.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := conn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ErrRole
	}
	for _, role := range roles {
		if slices.Contains(certs[0].Subject.OrganizationalUnit, string(role)) {
			return nil
		}
	}
	return ErrRole
}
