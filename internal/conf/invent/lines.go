package invent

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lines finds the line of a key in a document of arrays of tables.
type lines struct {
	keys map[lineKey]int
}

type lineKey struct {
	table string
	index int
	key   string
}

// line returns the line of a key, that of its table where the key is absent,
// or 0.
func (l *lines) line(table string, index int, key string) int {
	key, _, _ = strings.Cut(key, "[")
	if n, ok := l.keys[lineKey{table, index, key}]; ok {
		return n
	}
	return l.keys[lineKey{table, index, ""}]
}

func indexLines(data []byte) *lines {
	l := &lines{keys: map[lineKey]int{}}
	counts := map[string]int{}
	at := lineKey{}
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.ArrayTable:
			if strings.Contains(name, ".") {
				continue
			}
			at = lineKey{table: name, index: counts[name]}
			counts[name]++
			l.keys[at] = line
		case unstable.KeyValue:
			k := lineKey{table: at.table, index: at.index, key: name}
			if _, seen := l.keys[k]; !seen {
				l.keys[k] = line
			}
		default:
		}
	}
	return l
}

func keyOf(p *unstable.Parser, e *unstable.Node) (name string, line int) {
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
