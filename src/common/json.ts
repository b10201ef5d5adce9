/** The value of a JSON text; undefined for a text that is none, which the schema that reads it then refuses. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
