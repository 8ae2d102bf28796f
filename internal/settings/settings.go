// Package settings reads and checks the YAML settings of one process.
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

// Error marks every error of this package.
var Error = errs.Class("settings")

// Default is the commented file that `trailshed check --print-default` shows.
//
//go:embed default.yaml
var Default []byte

// Settings are all settings of one process, a section for each concern.
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

// rule is one check of a value; problem is empty when the value is fine.
type rule struct {
	key     string
	value   string
	problem string
}

// Load reads, fills with defaults and checks the settings in file. Errors name
// the file, the line, the key and the value.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.New("%s: %v", file, err)
	}
	return Parse(file, data)
}

// Parse checks data as Load does; file only names it in errors.
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
	var group errs.Group
	for _, r := range s.rules() {
		if r.problem != "" {
			group.Add(Error.New("%s:%d: %s: %q %s", file, lineOf(tree, r.key), r.key, r.value, r.problem))
		}
	}
	if err := group.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// syntaxError puts the position in front, as in all other errors.
func syntaxError(file string, err error) error {
	var at yaml.Error
	if errors.As(err, &at) && at.GetToken() != nil {
		t := at.GetToken()
		return Error.New("%s:%d: %s: %q", file, t.Position.Line, at.GetMessage(), strings.TrimSpace(t.Value))
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

// lineOf finds the line of a dotted key, or of its nearest parent that stands
// in the file; 1 when none does.
func lineOf(tree *ast.File, key string) int {
	for key != "" {
		path, err := yaml.PathString("$." + key)
		if err == nil {
			if node, err := path.FilterFile(tree); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexByte(key, '.')
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}
