// Package certs issues, saves and loads the credentials with which hosts
// authenticate each other: TLS certificates for streams and a shared fleet key
// for datagrams.
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

// File names in a host's key folder.
const (
	CAFile       = "ca.pem"
	CertFile     = "cert.pem"
	KeyFile      = "key.pem"
	FleetKeyFile = "fleet.key"

	fleetKeyBytes = 32
	keyFolderMode = 0o700
	keyFileMode   = 0o600
	// backdate is how long before its issue a certificate becomes valid.
	backdate = time.Hour
)

// Credentials holds the credentials of a host for connections to peer hosts.
type Credentials struct {
	Cert tls.Certificate
	CA   *x509.CertPool
	// FleetKey seals datagrams and signs operation keys.
	FleetKey []byte
	// Insecure reports whether the fleet runs without keys. Peers are then not
	// authenticated: any process that reaches the hosts' addresses can
	// impersonate a host.
	Insecure bool
}

// Authority is the certificate authority of a fleet.
type Authority struct {
	cert     *x509.Certificate
	key      *ecdsa.PrivateKey
	der      []byte
	fleetKey []byte
}

// NewAuthority returns a certificate authority with a new fleet key, valid for the
// given time from now on.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	t := template("hyssopspindle", now, validity)
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	fleetKey := make([]byte, fleetKeyBytes)
	if _, err := rand.Read(fleetKey); err != nil {
		return nil, fmt.Errorf("generate fleet key: %w", err)
	}
	return &Authority{cert: cert, key: key, der: der, fleetKey: fleetKey}, nil
}

func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
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
		NotAfter:     now.Add(validity),
	}
}

// Issue returns new credentials for a host.
func (a *Authority) Issue(host string, now time.Time, validity time.Duration) (*Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of %s: %w", host, err)
	}
	t := template(host, now, validity)
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of %s: %w", host, err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &Credentials{
		Cert:     tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		CA:       pool,
		FleetKey: a.fleetKey,
	}, nil
}

// insecureFleetKeyText is hashed into the fleet key of fleets without keys. That key
// is public: it only detects corrupted datagrams.
const insecureFleetKeyText = "hyssopspindle fleet without keys"

// NewInsecure returns the credentials of a host in a fleet without keys. Its
// certificate is self-issued, and peer hosts do not verify it.
func NewInsecure(host string, now time.Time) (*Credentials, error) {
	const validity = 10 * 365 * 24 * time.Hour
	a, err := NewAuthority(now, validity)
	if err != nil {
		return nil, fmt.Errorf("issue credentials for a fleet without keys: %w", err)
	}
	creds, err := a.Issue(host, now, validity)
	if err != nil {
		return nil, fmt.Errorf("issue credentials for a fleet without keys: %w", err)
	}
	sum := sha256.Sum256([]byte(insecureFleetKeyText))
	creds.FleetKey, creds.Insecure = sum[:], true
	return creds, nil
}

// Save writes a host's credentials to a folder.
func (a *Authority) Save(folder string, creds *Credentials) error {
	if err := os.MkdirAll(folder, keyFolderMode); err != nil {
		return fmt.Errorf("create key folder: %w", err)
	}
	key, ok := creds.Cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return errors.New("save credentials: private key is not an ECDSA key")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode private key: %w", err)
	}
	files := []struct {
		name string
		data []byte
	}{
		{CAFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})},
		{CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: creds.Cert.Certificate[0]})},
		{KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})},
		{FleetKeyFile, creds.FleetKey},
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.name), f.data, keyFileMode); err != nil {
			return fmt.Errorf("write %s: %w", f.name, err)
		}
	}
	return nil
}

// Load reads a host's credentials from a folder.
func Load(folder string) (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(filepath.Join(folder, CertFile), filepath.Join(folder, KeyFile))
	if err != nil {
		return nil, oops.In("certs").Wrapf(err, "load host certificate")
	}
	ca, err := os.ReadFile(filepath.Join(folder, CAFile))
	if err != nil {
		return nil, oops.In("certs").Wrapf(err, "load authority certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, oops.In("certs").Errorf("load authority certificate: %s contains no certificate", CAFile)
	}
	fleetKey, err := os.ReadFile(filepath.Join(folder, FleetKeyFile))
	if err != nil {
		return nil, oops.In("certs").Wrapf(err, "load fleet key")
	}
	if len(fleetKey) != fleetKeyBytes {
		return nil, oops.In("certs").Errorf("load fleet key: got %d bytes, want %d", len(fleetKey), fleetKeyBytes)
	}
	return &Credentials{Cert: cert, CA: pool, FleetKey: fleetKey}, nil
}

// PeerName returns the host name in a peer's certificate chain, or "" if the
// chain is empty. It does not verify the chain.
func PeerName(chain []*x509.Certificate) string {
	if len(chain) == 0 {
		return ""
	}
	return chain[0].Subject.CommonName
}

// Sealer encrypts and authenticates datagrams with AES-GCM under the fleet key.
type Sealer struct{ aead cipher.AEAD }

// ErrSeal is returned for a datagram that is not sealed with the fleet key.
var ErrSeal = errors.New("datagram is not sealed with the fleet key")

// sealTag is the first byte of every sealed datagram. QUIC packets cannot
// start with it: their first byte has one of the two top bits set.
const sealTag = 0x01

// NewSealer returns a sealer for a fleet key of 32 bytes.
func NewSealer(fleetKey []byte) (*Sealer, error) {
	block, err := aes.NewCipher(fleetKey)
	if err != nil {
		return nil, fmt.Errorf("fleet key: %w", err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fmt.Errorf("fleet cipher: %w", err)
	}
	return &Sealer{aead: aead}, nil
}

// Seal returns data as a sealed datagram: tag, nonce, ciphertext.
func (s *Sealer) Seal(data []byte) ([]byte, error) {
	n := s.aead.NonceSize()
	out := make([]byte, 1+n, 1+n+len(data)+s.aead.Overhead())
	out[0] = sealTag
	if _, err := rand.Read(out[1:]); err != nil {
		return nil, fmt.Errorf("seal datagram: %w", err)
	}
	return s.aead.Seal(out, out[1:1+n], data, out[:1]), nil
}

// Open returns the plaintext of a sealed datagram, or ErrSeal.
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
