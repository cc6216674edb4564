// Package settings reads the programs' settings from YAML files and checks them.
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"catkinrail.example/catkinrail"
)

// Section is a part of the settings that can check itself. Validate fills in
// defaults and returns what is wrong, fields named by their path in the file.
type Section interface {
	Validate() []catkinrail.FieldError
}

// Error lists what is wrong with a settings file.
type Error struct {
	File  string
	Lines []string
}

// Error implements error.
func (e *Error) Error() string {
	return strings.Join(e.Lines, "\n")
}

// Load reads the file into cfg and checks it. An unknown key or a bad value is
// reported with the file, line and key.
func Load(file string, cfg Section) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return catkinrail.At(err, "read settings", file)
	}
	return Parse(file, b, cfg)
}

// Parse is Load for the contents of a file.
func Parse(file string, b []byte, cfg Section) error {
	return parseWith(file, b, cfg, yaml.Strict())
}

// ParseLenient is Parse for a format that may gain keys: those that cfg doesn't
// know are passed over.
func ParseLenient(file string, b []byte, cfg Section) error {
	return parseWith(file, b, cfg)
}

func parseWith(file string, b []byte, cfg Section, opts ...yaml.DecodeOption) error {
	if err := decode(b, cfg, opts...); err != nil {
		return &Error{File: file, Lines: []string{decodeLine(file, b, cfg, err)}}
	}
	fields := cfg.Validate()
	if len(fields) == 0 {
		return nil
	}
	doc, err := parse(b)
	if err != nil {
		return &Error{File: file, Lines: []string{syntaxLine(file, err)}}
	}
	e := &Error{File: file}
	for _, f := range fields {
		e.Lines = append(e.Lines, fmt.Sprintf("%s:%d: %s: %s", file, lineOf(doc, f.Field), f.Field, f.Reason))
	}
	return e
}

// errMalformed reports input on which the YAML library gave up.
var errMalformed = errors.New("malformed YAML")

// decode reads b into v. The library panics on some malformed documents.
func decode(b []byte, v any, opts ...yaml.DecodeOption) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errMalformed, r)
		}
	}()
	return yaml.UnmarshalWithOptions(b, v, opts...)
}

// parse returns the document's nodes, with the same care as decode.
func parse(b []byte) (doc *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errMalformed, r)
		}
	}()
	return parser.ParseBytes(b, 0)
}

// decodeLine formats an error of decoding. The library doesn't say where a value
// of a type of its own, such as a duration, is wrong; the key is then found by
// decoding each by itself.
func decodeLine(file string, b []byte, cfg Section, err error) string {
	doc, parseErr := parse(b)
	if strings.HasPrefix(err.Error(), "[") || parseErr != nil || len(doc.Docs) == 0 {
		return syntaxLine(file, err)
	}
	mapping, ok := doc.Docs[0].Body.(*ast.MappingNode)
	if !ok {
		return syntaxLine(file, err)
	}
	for _, value := range mapping.Values {
		fresh := reflect.New(reflect.TypeOf(cfg).Elem()).Interface()
		if valueErr := decode([]byte(value.String()), fresh); valueErr != nil {
			return fmt.Sprintf("%s:%d: %s: %s", file, value.Key.GetToken().Position.Line, value.Key.String(), valueErr)
		}
	}
	return syntaxLine(file, err)
}

// syntaxLine formats an error of the YAML library, which begins with the line
// and column in brackets, on one line.
func syntaxLine(file string, err error) string {
	text, _, _ := strings.Cut(err.Error(), "\n")
	var line, column int
	if _, scanErr := fmt.Sscanf(text, "[%d:%d]", &line, &column); scanErr == nil {
		_, text, _ = strings.Cut(text, "] ")
	}
	return fmt.Sprintf("%s:%d: %s", file, line, text)
}

// lineOf returns the line of a field, or of the nearest enclosing one that the
// file has.
func lineOf(doc *ast.File, field string) int {
	for field != "" {
		if path, err := yaml.PathString("$." + field); err == nil {
			if node, err := path.FilterFile(doc); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		field = field[:max(cut, 0)]
	}
	return 1
}

// Prefix names the fields of a section by their path in the file.
func Prefix(section string, fields []catkinrail.FieldError) []catkinrail.FieldError {
	for i := range fields {
		fields[i].Field = section + "." + fields[i].Field
	}
	return fields
}
