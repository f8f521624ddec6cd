package invent

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the keys of a TOML document of arrays of tables to their lines.
type lineIndex struct {
	lines map[lineKey]int
}

type lineKey struct {
	table string
	index int
	key   string
}

// line returns the line of a key of a table entry, or the line of the entry if the
// key is absent, or 0 if the entry is absent.
func (l *lineIndex) line(table string, index int, key string) int {
	key, _, _ = strings.Cut(key, "[")
	if n, ok := l.lines[lineKey{table, index, key}]; ok {
		return n
	}
	return l.lines[lineKey{table, index, ""}]
}

func newLineIndex(data []byte) *lineIndex {
	l := &lineIndex{lines: map[lineKey]int{}}
	counts := map[string]int{}
	entry := lineKey{}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		name, line := dottedKey(&p, e)
		switch e.Kind {
		case unstable.ArrayTable:
			if strings.Contains(name, ".") {
				continue
			}
			entry = lineKey{table: name, index: counts[name]}
			counts[name]++
			l.lines[entry] = line
		case unstable.KeyValue:
			k := lineKey{table: entry.table, index: entry.index, key: name}
			if _, seen := l.lines[k]; !seen {
				l.lines[k] = line
			}
		default:
		}
	}
	return l
}

// dottedKey returns the dotted key of a table or key-value expression and its line.
func dottedKey(p *unstable.Parser, e *unstable.Node) (name string, line int) {
	var parts []string
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if len(parts) == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), line
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	if err := v.RegisterValidation("hostport", func(fl validator.FieldLevel) bool {
		return HostPort(fl.Field().String())
	}); err != nil {
		panic(err)
	}
	return v
}
