// Package answertest has answers for tests that a faulty endpoint sends, and unusual answers of sound endpoints.
package answertest
