const CHARACTERS_PER_TOKEN = 4;

/**
 * Tokens of a text, estimated from its length: the engine alone has the
 * tokenizer, and limits and routing need only an order of magnitude.
 */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
