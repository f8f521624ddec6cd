package invent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/pelletier/go-toml/v2"
)

// MaxPartBytes is the largest part that the configuration service accepts, in bytes.
const MaxPartBytes = 1 << 20

// Head is the manifest of one revision: it lists the parts with their hashes.
type Head struct {
	Revision uint64 `toml:"revision"`
	Parts    []Part `toml:"parts"`
}

// Part identifies one document by the hash of its content.
type Part struct {
	Name string `toml:"name"`
	// Hash is the SHA-256 of the document, in hexadecimal.
	Hash string `toml:"hash"`
}

// Version is the sort key of a configuration: its revision, then the beginning of its
// digest. If two configurations are published with the same revision, the digest
// makes every host choose the same one.
type Version struct {
	Revision uint64
	// DigestPrefix is the first 32 bits of the digest of the head.
	DigestPrefix uint32
}

// Supersedes reports whether v takes precedence over other.
func (v Version) Supersedes(other Version) bool {
	if v.Revision != other.Revision {
		return v.Revision > other.Revision
	}
	return v.DigestPrefix > other.DigestPrefix
}

// Version returns the sort key of an inventory; for nil it is the zero value, which is
// the lowest.
func (v *Inventory) Version() Version {
	if v == nil {
		return Version{}
	}
	return Version{Revision: v.Revision, DigestPrefix: digestPrefix(v.Digest)}
}

// digestPrefix returns the first 32 bits of a hexadecimal digest, or 0 if it is too
// short or malformed.
func digestPrefix(digest string) uint32 {
	const digits = 8
	if len(digest) < digits {
		return 0
	}
	n, err := strconv.ParseUint(digest[:digits], 16, 32)
	if err != nil {
		return 0
	}
	return uint32(n)
}

// Version returns the sort key that the head's inventory will have.
func (h Head) Version() (Version, error) {
	data, err := h.Marshal()
	if err != nil {
		return Version{}, fmt.Errorf("hash head: %w", err)
	}
	return Version{Revision: h.Revision, DigestPrefix: digestPrefix(Hash(data))}, nil
}

// Hash returns the SHA-256 of a document, in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ParseHead decodes and validates a head document.
func ParseHead(data []byte) (Head, error) {
	var h Head
	if len(data) > MaxPartBytes {
		return h, fmt.Errorf("head of %d bytes exceeds the limit of %d", len(data), MaxPartBytes)
	}
	if err := toml.Unmarshal(data, &h); err != nil {
		return h, fmt.Errorf("parse head: %w", err)
	}
	if h.Revision == 0 {
		return h, fmt.Errorf("head has no revision")
	}
	if len(h.Parts) == 0 {
		return h, fmt.Errorf("head of revision %d lists no parts", h.Revision)
	}
	for _, p := range h.Parts {
		if len(p.Hash) != sha256.Size*2 || p.Name == "" {
			return h, fmt.Errorf("head of revision %d: part %q has no name or no valid hash", h.Revision, p.Name)
		}
	}
	return h, nil
}

// Marshal encodes a head document as TOML.
func (h Head) Marshal() ([]byte, error) {
	data, err := toml.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	return data, nil
}

// Source is a named document of an inventory that is not validated yet.
type Source struct {
	Name string
	Data []byte
}

// NewHead returns the head of a set of documents.
func NewHead(revision uint64, sources []Source) Head {
	h := Head{Revision: revision}
	for _, s := range sources {
		h.Parts = append(h.Parts, Part{Name: s.Name, Hash: Hash(s.Data)})
	}
	return h
}
