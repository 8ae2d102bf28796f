// Package settings loads and validates the YAML settings of one process.
package settings

import (
	_ "embed"
	"errors"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// Default is the commented settings file that `trailshed check --print-default` prints.
//
//go:embed default.yaml
var Default []byte

// Settings holds all settings of one process, by section of the file.
type Settings struct {
	Node     Node     `yaml:"node"`
	Peers    Peers    `yaml:"peers"`
	Callers  Callers  `yaml:"callers"`
	Admin    Admin    `yaml:"admin"`
	Platform Platform `yaml:"platform"`
	Dispatch Dispatch `yaml:"dispatch"`
	Claims   Claims   `yaml:"claims"`
	Log      Log      `yaml:"log"`
}

// rule is the result of validating one value; problem is empty if the value is valid.
type rule struct {
	key     string
	value   string
	problem string
}

// Load reads the settings in file, adds the defaults and validates the result. Its
// errors give the file, line, key and value.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return Parse(file, data)
}

// Parse parses and validates data as Load does. The file name appears only in errors.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := yaml.Unmarshal(Default, s); err != nil {
		return nil, Error.New("built-in defaults: %v", err)
	}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return nil, syntaxError(file, err)
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	var problems errs.Group
	for _, r := range s.rules() {
		if r.problem != "" {
			problems.Add(Error.New("%s:%d: %s: %q %s", file, findLine(tree, r.key), r.key, r.value, r.problem))
		}
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// syntaxError starts the message with the position, as all other errors of Parse do.
func syntaxError(file string, err error) error {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) && yamlErr.GetToken() != nil {
		token := yamlErr.GetToken()
		return Error.New("%s:%d: %s: %q", file, token.Position.Line, yamlErr.GetMessage(), strings.TrimSpace(token.Value))
	}
	return Error.New("%s: %v", file, err)
}

func (s *Settings) rules() []rule {
	var all []rule
	all = append(all, s.Node.rules()...)
	all = append(all, s.Peers.rules()...)
	all = append(all, s.Callers.rules()...)
	all = append(all, s.Admin.rules()...)
	all = append(all, s.Platform.rules()...)
	all = append(all, s.Dispatch.rules()...)
	all = append(all, s.Claims.rules()...)
	all = append(all, s.Log.rules()...)
	return all
}

// findLine returns the line of a dotted key or, if it is not in the file, of its
// nearest parent that is. It returns 1 if there is none.
func findLine(tree *ast.File, key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.FilterFile(tree); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			break
		}
		key = key[:dot]
	}
	return 1
}
