// Package toucanfault defines the typed failure that crosses package and
// process boundaries.
package toucanfault

import (
	"errors"
	"strings"

	"toucanstair.example/core/toucanpb"
)

// Error is a failure with a code and the outcome of the request that met it.
// The zero value is an unspecified failure with an unspecified outcome.
type Error struct {
	Code    toucanpb.Code
	Outcome toucanpb.Outcome
	Detail  string
	Cause   error
}

// NotRun returns a failure of a request of which nothing reached a target.
func NotRun(code toucanpb.Code, detail string) *Error {
	return &Error{Code: code, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Detail: detail}
}

// Unknown returns a failure of a request that may have run.
func Unknown(code toucanpb.Code, detail string) *Error {
	return &Error{Code: code, Outcome: toucanpb.Outcome_OUTCOME_UNKNOWN, Detail: detail}
}

// As returns the first Error in the chain of err, or nil.
func As(err error) *Error {
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	return nil
}

// Because returns a copy of e with the given cause.
func (e *Error) Because(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// Error returns the code, the detail and the cause in one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(CodeName(e.Code))
	if e.Detail != "" {
		b.WriteString(": ")
		b.WriteString(e.Detail)
	}
	if e.Cause != nil {
		b.WriteString(": ")
		b.WriteString(e.Cause.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// CodeName returns the word that stands for c in JSON, logs and metrics.
func CodeName(c toucanpb.Code) string { return EnumName(c.String(), "CODE_") }

// OutcomeName returns the word that stands for o in JSON, logs and metrics.
func OutcomeName(o toucanpb.Outcome) string { return EnumName(o.String(), "OUTCOME_") }

// EnumName returns the lower-case word of an enumeration's name without its prefix.
func EnumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
