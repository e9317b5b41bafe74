// This file loads TLS keys and certificates and reloads them when the files change.
// If a changed file can't be loaded, the last valid certificate stays in use.

package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// TLSFiles names the PEM files of one TLS identity.
type TLSFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	CA          string `yaml:"authority"` // CA certificates that the other side's must chain to; required for peers
}

// IsZero reports whether TLS is not configured.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// certificateCheckInterval is the minimum time between two checks for changed files.
const certificateCheckInterval = 10 * time.Second

// certificateReloader holds the certificates in use and reloads them when their files change.
type certificateReloader struct {
	files TLSFiles
	now   func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// newCertificateReloader loads the files for the first time. Unlike a reload, it returns an
// error if one of them can't be loaded.
func newCertificateReloader(files TLSFiles, now func() time.Time) (*certificateReloader, error) {
	c := &certificateReloader{files: files, now: now}
	stamp, err := c.readModTimes()
	if err != nil {
		return nil, err
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.modTimes, c.lastCheck = stamp, now()
	return c, nil
}

func (c *certificateReloader) readModTimes() (stamp [3]time.Time, err error) {
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamp, eris.Wrap(err, "read TLS file; check its path and permissions")
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

func (c *certificateReloader) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate and key; check that the key belongs to the certificate")
	}
	var pool *x509.CertPool
	if c.files.CA != "" {
		pem, err := os.ReadFile(c.files.CA)
		if err != nil {
			return eris.Wrap(err, "read CA file; check its path and permissions")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return eris.Errorf("CA file %s contains no certificate; it must be in PEM format", c.files.CA)
		}
	}
	c.cert, c.pool = &cert, pool
	return nil
}

// current returns the certificate and the CA pool in use. If certificateCheckInterval
// has passed since the last check and the files have changed, it reloads them first.
func (c *certificateReloader) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.lastCheck) >= certificateCheckInterval {
		c.lastCheck = now
		if stamp, err := c.readModTimes(); err == nil && stamp != c.modTimes && c.load() == nil {
			c.modTimes = stamp
		}
	}
	return c.cert, c.pool
}

// ServerTLS returns a server configuration. If a CA file is given, clients must present
// a certificate that chains to it.
func ServerTLS(files TLSFiles) (*tls.Config, error) {
	c, err := newCertificateReloader(files, time.Now)
	if err != nil {
		return nil, err
	}
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := c.current()
		cfg := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"http/1.1"}, Certificates: []tls.Certificate{*cert}}
		if pool != nil {
			cfg.ClientAuth = tls.RequireAndVerifyClientCert
			cfg.ClientCAs = pool
		}
		return cfg, nil
	}
	return base, nil
}

// ClientTLS returns the configuration of a client that presents a certificate and
// verifies that the server's chains to the CA. It does not verify the host name: peers
// are dialed by IP address, and replacement VMs reuse addresses. Whoever has a
// certificate of the CA counts as a daemon of the fleet.
func ClientTLS(files TLSFiles) (*tls.Config, error) {
	c, err := newCertificateReloader(files, time.Now)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		// VerifyConnection replaces the default verification, which needs a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, pool := c.current()
			return verifyChain(cs, pool)
		},
	}, nil
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return eris.New("peer presented no certificate; configure one in its settings")
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
