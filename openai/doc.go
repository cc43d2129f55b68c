// Package openai holds the OpenAI-style chat completion types exchanged with
// callers and engines (request, streamed chunk, non-streamed response, error body),
// and the types of the engines' and the platform's status APIs.
package openai
