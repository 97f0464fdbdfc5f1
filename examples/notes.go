package examples

import _ "embed" // for the notes

// KelaniyaNote is the text of Kelaniya's first release note.
//
//go:embed kelaniya/note.toml
var KelaniyaNote []byte

// RetabloNote is the text of Retablo's first release note.
//
//go:embed retablo/note.toml
var RetabloNote []byte
