package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// writeIdentity writes a new key and a self-signed certificate with the given serial
// number, and sets the files' modification times.
func writeIdentity(t *testing.T, f TLSFiles, serial int64, modified time.Time) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: modified.Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{f.Certificate: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
}

func serialOf(t *testing.T, c *certificateReloader) int64 {
	t.Helper()
	cert, _ := c.current()
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	return leaf.SerialNumber.Int64()
}

func TestRenewedCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	f := TLSFiles{Certificate: filepath.Join(dir, "c.pem"), Key: filepath.Join(dir, "c.key")}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	writeIdentity(t, f, 1, now)
	c, err := newCertificateReloader(f, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	writeIdentity(t, f, 2, now.Add(time.Second))
	now = now.Add(certificateCheckInterval)
	if got := serialOf(t, c); got != 2 {
		t.Fatalf("certificate %d is in use, want the renewed one", got)
	}
	if err := os.WriteFile(f.Certificate, []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	now = now.Add(certificateCheckInterval)
	if got := serialOf(t, c); got != 2 {
		t.Fatalf("certificate %d is in use, want the last valid one", got)
	}
}
