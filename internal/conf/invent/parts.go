package invent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/pelletier/go-toml/v2"
)

// MaxPart is the largest value that the configuration service holds, in bytes.
const MaxPart = 1 << 20

// Head names the parts of one revision.
type Head struct {
	Revision uint64 `toml:"revision"`
	Parts    []Part `toml:"parts"`
}

// Part names one document by its content.
type Part struct {
	Name string `toml:"name"`
	// Hash is the SHA-256 of the document, in hexadecimal.
	Hash string `toml:"hash"`
}

// Mark orders configurations: by revision, and for two that were published
// under one number by their sums, so that every host keeps the same one.
type Mark struct {
	Revision uint64
	// Sum is the beginning of the digest.
	Sum uint32
}

// Above reports whether m goes before other.
func (m Mark) Above(other Mark) bool {
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Sum > other.Sum
}

// Mark returns the mark of an inventory, the lowest one for nil.
func (v *Inventory) Mark() Mark {
	if v == nil {
		return Mark{}
	}
	return Mark{Revision: v.Revision, Sum: sumOf(v.Digest)}
}

// sumOf returns the first bytes of a hexadecimal digest as a number.
func sumOf(digest string) uint32 {
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

// Mark returns the mark that the head's inventory would have.
func (h Head) Mark() (Mark, error) {
	data, err := h.Marshal()
	if err != nil {
		return Mark{}, fmt.Errorf("mark: %w", err)
	}
	return Mark{Revision: h.Revision, Sum: sumOf(Hash(data))}, nil
}

// Hash returns the SHA-256 of a document, in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// ParseHead reads a head document.
func ParseHead(data []byte) (Head, error) {
	var h Head
	if len(data) > MaxPart {
		return h, fmt.Errorf("head of %d bytes exceeds %d", len(data), MaxPart)
	}
	if err := toml.Unmarshal(data, &h); err != nil {
		return h, fmt.Errorf("parse head: %w", err)
	}
	if h.Revision == 0 {
		return h, fmt.Errorf("head has no revision")
	}
	if len(h.Parts) == 0 {
		return h, fmt.Errorf("head of revision %d names no parts", h.Revision)
	}
	for _, p := range h.Parts {
		if len(p.Hash) != sha256.Size*2 || p.Name == "" {
			return h, fmt.Errorf("head of revision %d: part %q has no valid hash", h.Revision, p.Name)
		}
	}
	return h, nil
}

// Marshal writes a head document.
func (h Head) Marshal() ([]byte, error) {
	data, err := toml.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("write head: %w", err)
	}
	return data, nil
}

// Source is a named document before it is accepted.
type Source struct {
	Name string
	Data []byte
}

// Bundle returns the head for a set of documents.
func Bundle(revision uint64, sources []Source) Head {
	h := Head{Revision: revision}
	for _, s := range sources {
		h.Parts = append(h.Parts, Part{Name: s.Name, Hash: Hash(s.Data)})
	}
	return h
}
