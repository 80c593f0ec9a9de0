package front

import (
	"testing"

	"github.com/matryer/is"

	"lacewinghook.example/lacewinghook/codes"
	"lacewinghook.example/lacewinghook/core"
	"lacewinghook.example/lacewinghook/meter"
)

// TestAuditDetectsViolations feeds responses with each fault to an audit.
func TestAuditDetectsViolations(t *testing.T) {
	mine, other := core.ID{Seq: 1}, core.ID{Seq: 2}
	token := func(id core.ID, offset int, finish string) core.Token {
		return core.Token{ID: id, Offset: offset, Text: "x", Finish: finish}
	}
	whole := []core.Token{token(mine, 0, ""), token(mine, 1, ""), token(mine, 2, "stop")}
	for name, tc := range map[string]struct {
		tokens []core.Token
		err    error
		broken meter.Promise
	}{
		"whole":                     {whole, nil, ""},
		"refused":                   {nil, codes.New(codes.NoMemory, ""), ""},
		"stream lost":               {whole[:1], codes.New(codes.UpstreamLost, ""), ""},
		"token of another request":  {[]core.Token{token(other, 0, "")}, nil, meter.AnsweredWhole},
		"token missing":             {[]core.Token{token(mine, 1, "")}, nil, meter.AnsweredWhole},
		"token repeated":            {[]core.Token{whole[0], whole[0]}, nil, meter.AnsweredOnce},
		"two answers":               {append(whole[:3:3], whole...), nil, meter.AnsweredOnce},
		"no end marker":             {whole[:2], nil, meter.AnsweredWhole},
		"wrong count in end marker": {[]core.Token{whole[0], token(mine, 5, "stop")}, nil, meter.AnsweredWhole},
		"not run after a token":     {whole[:1], codes.New(codes.NoMemory, ""), meter.NotRunIsTrue},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &meter.Registry{}
			sink := &textSink{}
			a := &audit{sink: sink, meter: m, id: mine}
			for _, tok := range tc.tokens {
				_ = a.Token(tok)
			}
			err := a.finalError(tc.err)
			is.Equal(err != nil, tc.err != nil || tc.broken != "")
			if tc.broken == "" {
				is.Equal(m.Value("violations_total", "promise", string(meter.AnsweredOnce)), uint64(0))
				return
			}
			is.True(m.Violations(tc.broken).Count > 0)
			is.Equal(codes.From(err).Run, codes.Ran)
			is.True(sink.tokens <= 2)
		})
	}
}
