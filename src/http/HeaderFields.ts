/** Header fields by lower-case name, as Node.js and undici return them. */
export type HeaderFields = Readonly<Record<string, string | string[] | undefined>>;
