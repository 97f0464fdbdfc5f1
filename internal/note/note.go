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

// MaxNoteBytes bounds the text of a note, well below the megabyte that a store value may hold.
const MaxNoteBytes = 128 << 10

// Errors that Parse, Plan and Apply return.
var (
	// ErrConflict says that an item of the note changed after the revision that its author saw.
	ErrConflict = eris.New("release note conflicts with a later one")
	// ErrInvalid says that a note or one of its items is malformed.
	ErrInvalid = eris.New("invalid release note")
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Note lists the work that an operator adds, changes and withdraws.
type Note struct {
	Added []Work `json:"added,omitempty" toml:"added"`
	// Amends is the id of the note that this one amends, if any.
	Amends string `json:"amends,omitempty" toml:"amends"`
	Author string `json:"author,omitempty" toml:"author"`
	// Base is the revision that the author saw; nil means the one in force at publishing.
	Base      *int64   `json:"base,omitempty" toml:"base"`
	Changed   []Work   `json:"changed,omitempty" toml:"changed"`
	ID        string   `json:"id" toml:"id"`
	Withdrawn []string `json:"withdrawn,omitempty" toml:"withdrawn"`
}

// Parse reads a note from TOML and checks it; errors match ErrInvalid.
func Parse(text []byte) (Note, error) {
	if len(text) > MaxNoteBytes {
		return Note{}, eris.Wrapf(ErrInvalid, "%d bytes, allowed are %d", len(text), MaxNoteBytes)
	}
	var n Note
	dec := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil {
		return Note{}, eris.Wrap(ErrInvalid, describeTOML(err))
	}
	return n, n.Check()
}

// Check returns the first fault of the note; errors match ErrInvalid.
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

// Digest identifies the note's content; the base is left out, because it says only what the author saw.
func (n Note) Digest() string {
	n.Base = nil
	text, err := json.Marshal(n)
	if err != nil {
		return "" // no field of a note can fail to encode but a share that is not a number, which Check refuses
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:16])
}

// Items returns the names of all items that the note lists.
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

// WithBase returns a copy of n whose author saw the given revision.
func (n Note) WithBase(revision int64) Note {
	n.Base = &revision
	return n
}

func describeTOML(err error) string {
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
