/**
 * @file Branded types: plain numbers or strings at run time that the compiler treats as distinct types.
 */

declare const brandName: unique symbol;

/** A `Base` branded as `Name`; only the code that creates such values casts to it. */
export type Branded<Base, Name extends string> = Base & { readonly [brandName]: Name };
