/** Fills in a template of settings from the platform's fields, as the page on the deploy file describes it. */

/** Returns the text with all sections and placeholders filled in. */
export function fillTemplate(text, fields) {
  return fill(text, [fields], undefined);
}

function fill(text, scopes, item) {
  let out = '';
  let rest = text;
  for (;;) {
    const match = /\{\{([#^]?)([^{}/|]+)(\|json)?\}\}/.exec(rest);
    if (match === null) {
      return out + rest;
    }
    out += rest.slice(0, match.index);
    rest = rest.slice(match.index + match[0].length);
    const [, sign, name, json] = match;
    if (sign === '') {
      out += show(name, json !== undefined, scopes, item);
      continue;
    }
    const end = `{{/${name}}}`;
    const at = rest.indexOf(end);
    out += fillSection(sign, rest.slice(0, at), find(name, scopes), scopes);
    rest = rest.slice(at + end.length);
  }
}

function fillSection(sign, inner, value, scopes) {
  const isAbsent = value === undefined || value === null || value === false;
  if (sign === '^') {
    return isAbsent ? fill(inner, scopes, undefined) : '';
  }
  if (isAbsent) {
    return '';
  }
  if (typeof value !== 'object') {
    return fill(inner, scopes, { value, key: '', isLast: true });
  }
  const entries = Object.entries(value);
  return entries
    .map(([key, each], index) =>
      fill(inner, [each, ...scopes], { value: each, key, isLast: index === entries.length - 1 }),
    )
    .join('');
}

function show(name, isJson, scopes, item) {
  if (name === ',') {
    return item?.isLast === false ? ',' : '';
  }
  const value = name === '@' ? item?.key : name === '.' ? item?.value : find(name, scopes);
  if (isJson) {
    return JSON.stringify(value ?? null);
  }
  return value === undefined ? '' : Array.isArray(value) ? value.join(',') : String(value);
}

function find(name, scopes) {
  for (const scope of scopes) {
    const value = name.split('.').reduce((from, part) => from?.[part], scope);
    if (value !== undefined) {
      return value;
    }
  }
  return undefined;
}
