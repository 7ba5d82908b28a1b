/** Header fields in their original order, with names in their original spelling. */
export type HeaderList = readonly (readonly [name: string, value: string])[];
