// Package openai holds the OpenAI-style chat completion shapes spoken to
// callers and engines: the request, the streamed chunk and the whole answer,
// and the error body lovageweir sends with a refusal.
package openai
