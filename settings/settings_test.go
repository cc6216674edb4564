package settings_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/settings"
)

type section struct {
	Name  string        `yaml:"name"`
	Lease time.Duration `yaml:"lease"`
	List  []struct {
		Address string `yaml:"address"`
	} `yaml:"list"`
}

func (s *section) Validate() []catkinrail.FieldError {
	var errs []catkinrail.FieldError
	if s.Name == "" {
		errs = append(errs, catkinrail.FieldError{Field: "name", Reason: "is missing"})
	}
	if len(s.List) > 1 && s.List[1].Address == "" {
		errs = append(errs, catkinrail.FieldError{Field: "list[1].address", Reason: "is missing"})
	}
	return errs
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{"valid", "name: a\nlease: 2s\n", nil},
		{"unknown key", "name: a\ncolour: b\n", []string{`f.yaml:2: unknown field "colour"`}},
		{"bad duration", "name: a\nlease: soon\n", []string{`f.yaml:2:`}},
		{"missing field", "lease: 2s\n", []string{"f.yaml:1: name: is missing"}},
		{"field of a list", "name: a\nlist:\n  - address: x\n  - address: \"\"\n", []string{"f.yaml:4: list[1].address: is missing"}},
		{"not YAML", "name: [a\n", []string{"f.yaml:"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := settings.Parse("f.yaml", []byte(tt.text), &section{})
			if tt.want == nil {
				require.NoError(t, err)
				return
			}
			var e *settings.Error
			require.ErrorAs(t, err, &e)
			require.Len(t, e.Lines, len(tt.want))
			for i, want := range tt.want {
				require.Contains(t, e.Lines[i], want)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add("name: a\nlist: [{address: b}]\n")
	f.Add("name: &x a\nlease: *x\n")
	f.Fuzz(func(_ *testing.T, text string) {
		_ = settings.Parse("f.yaml", []byte(text), &section{})
	})
}
