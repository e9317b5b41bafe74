// This file reads keys and certificates. A renewed file is taken up without a
// restart; a broken one leaves the last good one in force.

package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// TLSFiles names the files of one TLS identity, in PEM.
type TLSFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"` // who signs the other side; required for peers
}

// IsZero reports whether no TLS is wanted.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// certificateCheck is how often the files are looked at.
const certificateCheck = 10 * time.Second

// certificates holds the identity that is in force.
type certificates struct {
	files TLSFiles
	now   func() time.Time

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// loadCertificates reads the files the first time; an error then is final.
func loadCertificates(files TLSFiles, now func() time.Time) (*certificates, error) {
	c := &certificates{files: files, now: now}
	stamp, err := c.modified()
	if err != nil {
		return nil, err
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.stamp, c.checked = stamp, now()
	return c, nil
}

func (c *certificates) modified() (stamp [3]time.Time, err error) {
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamp, eris.Wrap(err, "read TLS file; check its path and rights")
		}
		stamp[i] = info.ModTime()
	}
	return stamp, nil
}

func (c *certificates) load() error {
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate and key; check that they belong together")
	}
	var pool *x509.CertPool
	if c.files.Authority != "" {
		pem, err := os.ReadFile(c.files.Authority)
		if err != nil {
			return eris.Wrap(err, "read authority; check its path and rights")
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return eris.Errorf("authority %s holds no certificate; write PEM", c.files.Authority)
		}
	}
	c.cert, c.pool = &cert, pool
	return nil
}

// current returns the identity in force, read again if the files changed.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.now(); now.Sub(c.checked) >= certificateCheck {
		c.checked = now
		if stamp, err := c.modified(); err == nil && stamp != c.stamp && c.load() == nil {
			c.stamp = stamp
		}
	}
	return c.cert, c.pool
}

// ServerTLS returns the configuration of a server. With an authority, clients
// must show a certificate that it signed.
func ServerTLS(files TLSFiles) (*tls.Config, error) {
	c, err := loadCertificates(files, time.Now)
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

// ClientTLS returns the configuration of a client that shows a certificate and
// checks the server's against the authority. Peers are met by IP number, which
// replacement VMs share over time, so the chain is checked and the name is not:
// whoever holds a certificate of the authority is a daemon of the fleet.
func ClientTLS(files TLSFiles) (*tls.Config, error) {
	c, err := loadCertificates(files, time.Now)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		// The check below takes the place of the one that needs a name.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, pool := c.current()
			return verifyChain(cs, pool)
		},
	}, nil
}

func verifyChain(cs tls.ConnectionState, pool *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return eris.New("peer showed no certificate; give it one in its settings")
	}
	opts := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool()}
	for _, cert := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return err
}
