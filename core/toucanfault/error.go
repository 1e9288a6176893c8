// Package toucanfault defines the error type that is passed between packages and
// processes.
package toucanfault

import (
	"errors"
	"strings"

	"toucanstair.example/core/toucanpb"
)

// Error is an error with a code and the outcome of the request that failed.
// The zero value has an unspecified code and outcome.
type Error struct {
	Code    toucanpb.Code
	Outcome toucanpb.Outcome
	Detail  string
	Cause   error
}

// NotRun returns an error for a request of which nothing reached a target, so
// that a retry is safe.
func NotRun(code toucanpb.Code, detail string) *Error {
	return &Error{Code: code, Outcome: toucanpb.Outcome_OUTCOME_NOTRUN, Detail: detail}
}

// Unknown returns an error for a request that may have run.
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

// Because returns a copy of e that wraps cause.
func (e *Error) Because(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// Error returns the code, the detail and the cause, separated by ": ".
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

// CodeName returns the name of c in JSON, logs and metrics, such as "overload".
func CodeName(c toucanpb.Code) string { return EnumName(c.String(), "CODE_") }

// OutcomeName returns the name of o in JSON, logs and metrics, such as "notrun".
func OutcomeName(o toucanpb.Outcome) string { return EnumName(o.String(), "OUTCOME_") }

// EnumName returns the name of an enum value in lower case without prefix.
func EnumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}
