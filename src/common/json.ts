/** Parses JSON. Returns undefined for invalid JSON, which the schema that checks the value then rejects. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
