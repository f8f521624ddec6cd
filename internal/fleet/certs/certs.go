// Package certs makes and loads the certificates and the datagram key by which
// hosts know each other.
package certs

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
)

// The files of a host's key folder.
const (
	CAFile    = "ca.pem"
	CertFile  = "cert.pem"
	KeyFile   = "key.pem"
	FleetFile = "fleet.key"

	fleetKeyBytes = 32
	folderMode    = 0o700
	fileMode      = 0o600
	backdate      = time.Hour
)

// Set is what a host needs to talk to other hosts.
type Set struct {
	Cert tls.Certificate
	CA   *x509.CertPool
	// Fleet is the key that seals datagrams and signs operation keys.
	Fleet []byte
	// Open says that the fleet has no keys: any process that reaches the hosts'
	// addresses can speak as one of them.
	Open bool
}

// Authority signs host certificates.
type Authority struct {
	cert  *x509.Certificate
	key   *ecdsa.PrivateKey
	der   []byte
	fleet []byte
}

// NewAuthority makes an authority that is valid from now for the given time.
func NewAuthority(now time.Time, life time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	t := template("hyssopspindle", now, life)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority: %w", err)
	}
	fleet := make([]byte, fleetKeyBytes)
	if _, err := rand.Read(fleet); err != nil {
		return nil, fmt.Errorf("generate fleet key: %w", err)
	}
	return &Authority{cert: cert, key: key, der: der, fleet: fleet}, nil
}

func template(name string, now time.Time, life time.Duration) *x509.Certificate {
	const serialBits = 120
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		serial = big.NewInt(now.UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(life),
	}
}

// Issue makes the certificate of one host.
func (a *Authority) Issue(host string, now time.Time, life time.Duration) (*Set, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of %s: %w", host, err)
	}
	t := template(host, now, life)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of %s: %w", host, err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &Set{
		Cert:  tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		CA:    pool,
		Fleet: a.fleet,
	}, nil
}

// openFleet names the key of fleets without keys; it guards against damage only.
const openFleet = "hyssopspindle fleet without keys"

// NewOpen makes the set of a host of a fleet without keys, with a certificate
// of its own that others do not verify.
func NewOpen(host string, now time.Time) (*Set, error) {
	const life = 10 * 365 * 24 * time.Hour
	a, err := NewAuthority(now, life)
	if err != nil {
		return nil, fmt.Errorf("make open set: %w", err)
	}
	s, err := a.Issue(host, now, life)
	if err != nil {
		return nil, fmt.Errorf("make open set: %w", err)
	}
	sum := sha256.Sum256([]byte(openFleet))
	s.Fleet, s.Open = sum[:], true
	return s, nil
}

// Save writes a host's set into a folder.
func (a *Authority) Save(folder string, s *Set) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("create key folder: %w", err)
	}
	key, ok := s.Cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.New("save keys: not an ECDSA key")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	files := []struct {
		name string
		data []byte
	}{
		{CAFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})},
		{CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Cert.Certificate[0]})},
		{KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})},
		{FleetFile, s.Fleet},
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.name), f.data, fileMode); err != nil {
			return fmt.Errorf("write %s: %w", f.name, err)
		}
	}
	return nil
}

// Load reads a host's set from a folder.
func Load(folder string) (*Set, error) {
	cert, err := tls.LoadX509KeyPair(filepath.Join(folder, CertFile), filepath.Join(folder, KeyFile))
	if err != nil {
		return nil, oops.In("certs").Wrapf(err, "load host certificate")
	}
	ca, err := os.ReadFile(filepath.Join(folder, CAFile))
	if err != nil {
		return nil, oops.In("certs").Wrapf(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, oops.In("certs").Errorf("load authority: %s holds no certificate", CAFile)
	}
	fleet, err := os.ReadFile(filepath.Join(folder, FleetFile))
	if err != nil {
		return nil, oops.In("certs").Wrapf(err, "load fleet key")
	}
	if len(fleet) != fleetKeyBytes {
		return nil, oops.In("certs").Errorf("load fleet key: %d bytes, want %d", len(fleet), fleetKeyBytes)
	}
	return &Set{Cert: cert, CA: pool, Fleet: fleet}, nil
}

// PeerName returns the host that a verified peer certificate names.
func PeerName(chain []*x509.Certificate) string {
	if len(chain) == 0 {
		return ""
	}
	return chain[0].Subject.CommonName
}

// Sealer seals datagrams with AES-GCM under the fleet key.
type Sealer struct{ aead cipher.AEAD }

// ErrSeal is the error of a datagram that was not sealed by this fleet.
var ErrSeal = errors.New("datagram is not sealed by this fleet")

// sealTag is the first byte of every sealed datagram; QUIC packets have one of
// the two top bits set.
const sealTag = 0x01

// NewSealer returns a sealer for a fleet key of 32 bytes.
func NewSealer(fleet []byte) (*Sealer, error) {
	block, err := aes.NewCipher(fleet)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("fleet cipher: %w", err)
	}
	return &Sealer{aead: aead}, nil
}

// Seal returns the datagram that carries data.
func (s *Sealer) Seal(data []byte) ([]byte, error) {
	n := s.aead.NonceSize()
	out := make([]byte, 1+n, 1+n+len(data)+s.aead.Overhead())
	out[0] = sealTag
	if _, err := rand.Read(out[1:]); err != nil {
		return nil, fmt.Errorf("seal datagram: %w", err)
	}
	return s.aead.Seal(out, out[1:1+n], data, out[:1]), nil
}

// Open returns the content of a datagram, or ErrSeal.
func (s *Sealer) Open(datagram []byte) ([]byte, error) {
	n := s.aead.NonceSize()
	if len(datagram) < 1+n || datagram[0] != sealTag {
		return nil, ErrSeal
	}
	data, err := s.aead.Open(nil, datagram[1:1+n], datagram[1+n:], datagram[:1])
	if err != nil {
		return nil, ErrSeal
	}
	return data, nil
}
