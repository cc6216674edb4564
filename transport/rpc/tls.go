// Package rpc carries the calls between the system's processes over TCP, with
// TLS, deadlines, and replacement of connections that went silent.
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

// Role is what a certificate lets its holder do. It stands in the certificate's
// organizational units.
type Role string

// Roles.
const (
	RoleControl  Role = "control"
	RoleEntry    Role = "entry"
	RoleOperator Role = "operator"
)

// TLSSettings name the files of a process's key and certificates.
type TLSSettings struct {
	// CA is the file of the authority that all processes trust.
	CA          string `yaml:"ca"`
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Insecure turns TLS off. It is accepted with loopback addresses only.
	Insecure bool `yaml:"insecure"`
	// TrustedNetwork turns TLS off on any address: the network itself must keep
	// others out.
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

// Credentials hold a process's key and certificates and read them again when
// their files change.
type Credentials struct {
	settings TLSSettings

	mu     sync.Mutex
	stamp  time.Time
	cert   *tls.Certificate
	roots  *x509.CertPool
	failed error
}

// NewCredentials loads the files that the settings name. It returns nil if the
// settings turn TLS off.
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

// plain reports whether connections go without TLS.
func (c *Credentials) plain() bool {
	return c == nil || c.settings.TrustedNetwork
}

// load returns the current certificates. If changed files can't be read, the
// earlier ones stay in use.
func (c *Credentials) load() (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamp := c.latest()
	if c.cert != nil && !stamp.After(c.stamp) {
		return c.cert, c.roots, nil
	}
	cert, err := tls.LoadX509KeyPair(c.settings.Certificate, c.settings.Key)
	if err != nil {
		return c.keep(err)
	}
	pem, err := os.ReadFile(c.settings.CA)
	if err != nil {
		return c.keep(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return c.keep(fmt.Errorf("%s holds no certificate", c.settings.CA))
	}
	c.cert, c.roots, c.stamp, c.failed = &cert, roots, stamp, nil
	return c.cert, c.roots, nil
}

func (c *Credentials) keep(err error) (*tls.Certificate, *x509.CertPool, error) {
	c.failed = err
	if c.cert == nil {
		return nil, nil, catkinrail.At(err, "load certificate", "")
	}
	return c.cert, c.roots, nil
}

// Err returns why the files could not be read again, or nil.
func (c *Credentials) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

func (c *Credentials) latest() time.Time {
	var latest time.Time
	for _, file := range []string{c.settings.CA, c.settings.Certificate, c.settings.Key} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// server returns the configuration of a listener, which demands a certificate.
func (c *Credentials) server() *tls.Config {
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

// client returns the configuration for a connection to a control instance. The
// peer is known by its role rather than by a host name.
func (c *Credentials) client() (*tls.Config, error) {
	cert, roots, err := c.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      roots,
		// The chain and the role are checked below; host names don't matter.
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
		return errors.New("peer's certificate is not a control instance's")
	}
	return nil
}

// ErrRole reports a caller whose certificate doesn't allow the call.
var ErrRole = errors.New("certificate does not allow this call")

// RequireRole returns ErrRole unless the caller's certificate names one of the
// roles. Without TLS, which only loopback allows, every role is granted.
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
