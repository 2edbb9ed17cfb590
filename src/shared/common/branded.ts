/**
 * @file Branded types: values that are plain numbers or texts when they run, and that the compiler keeps
 * apart by what they name.
 */

declare const brandName: unique symbol;

/** A `Base` that names a `Name`; made only where such values come into being. */
export type Branded<Base, Name extends string> = Base & { readonly [brandName]: Name };
