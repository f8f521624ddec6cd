// Package dedup runs operations that are not safe to run twice, each at most once. An
// operation key names its home host: the process that stores the operation and its
// outcome.
package dedup

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// macBytes is the length of the truncated signature of a prefix.
	macBytes = 16
	// MaxCallerPart bounds the caller's part of a key, in bytes.
	MaxCallerPart = 128
	// MaxKey bounds a whole key, in bytes.
	MaxKey = 512
)

// Prefix is the part of an operation key that a host signs.
type Prefix struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Life is the incarnation of the home host: the start time of its process, in
	// milliseconds since 1970.
	Life   uint64
	Caller string
	// Expires is in seconds since 1970.
	Expires int64
}

// Key is a verified operation key.
type Key struct {
	Prefix Prefix
	// CallerPart is the caller's part of the key.
	CallerPart string
	// Text is the whole key.
	Text string
}

// ErrKey is returned for a key that no host of this fleet signed for the caller.
var ErrKey = errors.New("operation key is not valid")

// Signer signs prefixes and verifies keys.
type Signer struct{ secret []byte }

// NewSigner returns a signer whose secret is derived from the fleet key.
func NewSigner(fleet []byte) *Signer {
	mac := hmac.New(sha256.New, fleet)
	mac.Write([]byte("operation key"))
	return &Signer{secret: mac.Sum(nil)}
}

// Sign returns the signed text of a prefix. The caller appends a dot and its own part.
func (s *Signer) Sign(p Prefix) (string, error) {
	data, err := wire.Encode(p)
	if err != nil {
		return "", fmt.Errorf("sign prefix: %w", err)
	}
	return encode(data) + "." + encode(s.mac(data)), nil
}

func (s *Signer) mac(data []byte) []byte {
	mac := hmac.New(sha256.New, s.secret)
	mac.Write(data)
	return mac.Sum(nil)[:macBytes]
}

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// Parse verifies an operation key that a caller sent; its error wraps ErrKey.
func (s *Signer) Parse(text, caller string) (Key, error) {
	var k Key
	if len(text) > MaxKey {
		return k, fmt.Errorf("%w: longer than %d bytes", ErrKey, MaxKey)
	}
	parts := strings.SplitN(text, ".", 3)
	if len(parts) != 3 || parts[2] == "" || len(parts[2]) > MaxCallerPart {
		return k, fmt.Errorf("%w: want a signed prefix, a dot and 1 to %d bytes of the caller's own", ErrKey, MaxCallerPart)
	}
	data, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return k, fmt.Errorf("%w: %w", ErrKey, err)
	}
	sum, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return k, fmt.Errorf("%w: %w", ErrKey, err)
	}
	if !hmac.Equal(sum, s.mac(data)) {
		return k, fmt.Errorf("%w: wrong signature", ErrKey)
	}
	if err := wire.Decode(data, &k.Prefix); err != nil {
		return k, fmt.Errorf("%w: %w", ErrKey, err)
	}
	if k.Prefix.Caller != caller {
		return k, fmt.Errorf("%w: signed for another caller", ErrKey)
	}
	k.CallerPart, k.Text = parts[2], text
	return k, nil
}

// Expired reports whether the key has expired, so that the home host may have removed
// its operation.
func (k Key) Expired(now time.Time) bool { return now.Unix() >= k.Prefix.Expires }

// ExpiresAt returns when the key expires.
func (k Key) ExpiresAt() time.Time { return time.Unix(k.Prefix.Expires, 0) }
