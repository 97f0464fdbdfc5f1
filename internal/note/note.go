package note

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// MaxNoteBytes limits the size of a note, well below the 1 MiB limit of a store value.
const MaxNoteBytes = 128 << 10

// Errors of Parse, Check and Apply.
var (
	// ErrConflict is returned if an item of the note was changed after the note's base.
	ErrConflict = eris.New("release note conflicts with a later one")
	// ErrInvalid is returned if a note or one of its items is malformed, or does not fit the catalogue.
	ErrInvalid = eris.New("invalid release note")
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Note is a release note: the items that an operator adds, changes and withdraws.
type Note struct {
	Added []Work `json:"added,omitempty" toml:"added"`
	// Amends is the id of the note that this one amends, if any.
	Amends string `json:"amends,omitempty" toml:"amends"`
	Author string `json:"author,omitempty" toml:"author"`
	// Base is the catalogue revision that the author saw, for optimistic concurrency control. Nil means the revision in
	// force when the note is published.
	Base      *int64   `json:"base,omitempty" toml:"base"`
	Changed   []Work   `json:"changed,omitempty" toml:"changed"`
	ID        string   `json:"id" toml:"id"`
	Withdrawn []string `json:"withdrawn,omitempty" toml:"withdrawn"`
}

// Parse decodes a note from TOML and checks it. Errors match ErrInvalid.
func Parse(text []byte) (Note, error) {
	if len(text) > MaxNoteBytes {
		return Note{}, eris.Wrapf(ErrInvalid, "%d bytes, allowed are %d", len(text), MaxNoteBytes)
	}
	var n Note
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return Note{}, eris.Wrap(ErrInvalid, formatTOMLError(err))
	}
	return n, n.Check()
}

// Check validates the note by itself, without the catalogue, and returns the first error found. Errors match ErrInvalid.
func (n Note) Check() error {
	if !namePattern.MatchString(n.ID) {
		return invalid("id", "%q must match %s", n.ID, namePattern)
	}
	if n.Base != nil && *n.Base < 0 {
		return invalid("base", "%d is below 0", *n.Base)
	}
	if len(n.Items()) == 0 {
		return invalid(n.ID, "lists no item")
	}
	seen := map[string]bool{}
	for _, name := range n.Items() {
		if seen[name] {
			return invalid(name, "is listed twice")
		}
		seen[name] = true
	}
	for _, w := range slices.Concat(n.Added, n.Changed) {
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// Digest returns a hash of the note's content. The base is left out, because it does not change what the note does.
func (n Note) Digest() string {
	n.Base = nil
	text, err := json.Marshal(n)
	if err != nil {
		return "" // only a NaN share can't be encoded, and Check rejects it
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// Items returns the names of all items that the note adds, changes or withdraws.
func (n Note) Items() []string {
	var names []string
	for _, w := range slices.Concat(n.Added, n.Changed) {
		names = append(names, w.Name)
	}
	return append(names, n.Withdrawn...)
}

// WithAmends returns a copy of n that amends the note with the given id.
func (n Note) WithAmends(id string) Note {
	n.Amends = id
	return n
}

// WithBase returns a copy of n with the given base revision.
func (n Note) WithBase(revision int64) Note {
	n.Base = &revision
	return n
}

func formatTOMLError(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return fmt.Sprintf("line %d: unknown key %q", row, strings.Join(first.Key(), "."))
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		return fmt.Sprintf("line %d: %s", row, dec.Error())
	}
	return err.Error()
}

func invalid(what, format string, args ...any) error {
	return eris.Wrapf(ErrInvalid, "%s: %s", what, fmt.Sprintf(format, args...))
}
