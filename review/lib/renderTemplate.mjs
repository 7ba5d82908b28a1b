/* eslint-disable @typescript-eslint/explicit-function-return-type */
const SECTION = /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const INVERTED = /\{\{\^([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g;

/** Fills in a settings template with the fields of a machine, as the deploy page describes for values, sections and lists. */
export function renderTemplate(template, fields) {
    return template
        .replace(SECTION, (_match, name, inner) => renderSection(lookUp(fields, name), inner, fields))
        .replace(INVERTED, (_match, name, inner) => hasValue(lookUp(fields, name)) ? "" : renderTemplate(inner, fields))
        .replace(VALUE, (_match, name, asJson) => renderValue(lookUp(fields, name), asJson !== undefined));
}

function renderSection(value, inner, fields) {
    if (!hasValue(value)) {
        return "";
    }
    if (!Array.isArray(value)) {
        return renderTemplate(inner, fields);
    }
    return value.map((entry, index) => inner
        .replaceAll("{{,}}", index < value.length - 1 ? "," : "")
        .replaceAll("{{.|json}}", JSON.stringify(entry))
        .replaceAll("{{.}}", String(entry))).join("");
}

function renderValue(value, asJson) {
    if (asJson) {
        return JSON.stringify(value ?? null);
    }
    return value === undefined || value === null ? "" : String(value);
}

function lookUp(fields, name) {
    return name.split(".").reduce((value, key) => value?.[key], fields);
}

function hasValue(value) {
    return value !== undefined && value !== null && value !== false;
}
